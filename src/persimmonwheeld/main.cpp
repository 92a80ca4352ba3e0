#include "libhost/libhost.h"

int main(int Count, char **Arguments) {
  const persimmon::EdgeProtocols Protocols = persimmon::makeNativeProtocols();
  return persimmon::runDaemonProgram(Count, Arguments, Protocols, nullptr);
}
