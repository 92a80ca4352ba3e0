#include "libhost/libhost.h"

int main(int Count, char **Arguments) {
  const persimmon::EdgeProtocols Protocols = persimmon::makeOwnProtocols();
  return persimmon::runDaemonProgram(Count, Arguments, Protocols, nullptr);
}
