#include "cases.h"
#include "deployment.h"

namespace review {

Verdict runUnreadableConfiguration(Record &Out, bool Trouble) {
  Deployment Site({"alpha", "beta"}, 110, Out);
  Site.startAll();
  const std::vector<Route> First = {
      {"r-alpha", "alpha.example", "/alpha/", "safe", 1.0, "alpha"}};
  const std::vector<Route> Second = {
      {"r-alpha", "alpha.example", "/alpha/", "safe", 1.0, "beta"}};
  if (Site.replaceConfiguration(
          configurationText(1, 0, First, {"alpha", "beta"})) != 200)
    return Verdict::CouldNotRun;
  // A member whose value is damaged; without the disruption it is well formed.
  const std::string Damaged = Trouble ? ",\"comment\":[\"moved\" by 12 \"opera"
                                      : ",\"comment\":[\"x\"]";
  const std::string Text = configurationText(
      2, 1, Second, {"alpha", "beta"}, Trouble ? Damaged + "\"}" : Damaged);
  Out.line("operator: the document ends with " +
           Text.substr(Text.rfind("\"baseVersion\"")));
  const int Status = Site.replaceConfiguration(Text);
  const bool InForce =
      Site.readConfiguration().find("\"version\":2") != std::string::npos;
  if (Status == 0)
    return Verdict::CouldNotRun;
  Out.line("acknowledged: " + std::to_string(Status) +
           (InForce ? ", in force" : ", not in force"));
  if (!Trouble)
    return Status == 200 ? Verdict::Held : Verdict::CouldNotRun;
  return Status == 200 || InForce ? Verdict::Broken : Verdict::Held;
}

} // namespace review
