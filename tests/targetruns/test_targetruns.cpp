#include "support/lonecontrol.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

using namespace persimmon;

namespace {

using State = wire::TargetState;

const std::string ControlAddress = "127.0.0.1:7380";
const std::string ProxyAddress = "127.0.0.2:7380";
constexpr std::int64_t StartMs = 1'700'000'000'000;

TargetAnnounced announcement(const std::string &Id, std::int64_t Born,
                             std::int64_t Sequence,
                             State::type Word = State::Serving) {
  TargetAnnounced Out;
  Out.Service = "team/work";
  Out.State = Word;
  Out.Slots = 8;
  Out.InstanceId = Id;
  Out.Born = Born;
  Out.Sequence = Sequence;
  return Out;
}

TargetFound found(const std::string &Id) { return {"team/work", Id, 8}; }

/// A proxy and the only control instance. Messages between them arrive at
/// once.
class Pair {
public:
  Pair() {
    this->Control =
        makeLoneControl(ControlAddress, {}, this->policies(), this->Now);
    this->restartProxy();
    this->send(*this->Control, BootstrapRequested{{ControlAddress}});
    this->run(milliseconds(4000));
  }

  void restartProxy() {
    NodeIdentity Identity;
    Identity.Name = "proxy";
    Identity.Address = ProxyAddress;
    Identity.Incarnation = ++this->Incarnation;
    Identity.Seeds = {ControlAddress};
    this->Proxy = Node::makeProxy(Identity, this->policies());
  }

  void tell(EventBody Body) { this->send(*this->Proxy, std::move(Body)); }

  void run(milliseconds For) {
    for (const Time End = this->Now + For; this->Now < End;) {
      this->Now += milliseconds(20);
      this->send(*this->Control, Tick());
      this->send(*this->Proxy, Tick());
    }
  }

  /// Returns the time of day, in ms since 1970.
  std::int64_t wallMs() const {
    return StartMs + std::chrono::duration_cast<milliseconds>(
                         this->Now.time_since_epoch())
                         .count();
  }

  State::type state() const { return this->Proxy->target().State; }

  const wire::MemberRecord &record() const {
    return this->Proxy->members().self();
  }

private:
  NodePolicies policies() { return {this->Choice, this->VersionTopology}; }

  void send(Node &To, EventBody Body) {
    const Effects Out = To.reduce({this->Now, this->wallMs(), std::move(Body)});
    const bool FromControl = &To == this->Control.get();
    for (const Effect &Item : Out) {
      const auto *Sent = std::get_if<SendMessage>(&Item);
      if (Sent == nullptr)
        continue;
      if (Sent->Address == ProxyAddress && FromControl)
        this->send(*this->Proxy, MessageReceived{ControlAddress, Sent->Body});
      else if (Sent->Address == ControlAddress && !FromControl)
        this->send(*this->Control, MessageReceived{ProxyAddress, Sent->Body});
    }
  }

  LeastOfTwo Choice;
  PeerTopology VersionTopology;
  Time Now = Time() + std::chrono::hours(1);
  std::int64_t Incarnation = 0;
  std::unique_ptr<Node> Control;
  std::unique_ptr<Node> Proxy;
};

} // namespace

// Guards against calls to a target that left, after its daemon restarted
// (DRAIN).
TEST_CASE("a late announcement does not return a target that was found") {
  Pair Case;
  const std::int64_t Born = Case.wallMs();
  Case.run(milliseconds(1000));
  Case.tell(found("i-1"));
  REQUIRE(Case.state() == State::Serving);
  Case.tell(TargetLeaving{"i-1"});
  CHECK(Case.state() == State::Draining);
  Case.tell(announcement("i-1", Born, 7));
  CHECK(Case.state() == State::Draining);
  Case.tell(announcement("i-1", Born, 8));
  CHECK(Case.state() == State::Draining);
  Case.run(milliseconds(100));
  Case.tell(announcement("i-1", Case.wallMs(), 1));
  CHECK(Case.state() == State::Serving);
}

TEST_CASE("the leave of a target that is not known yet is kept") {
  Pair Case;
  const std::int64_t Born = Case.wallMs();
  Case.run(milliseconds(1000));
  Case.tell(TargetLeaving{"i-1"});
  Case.tell(announcement("i-1", Born, 7));
  CHECK(Case.state() == State::Draining);
  Pair Other;
  Other.tell(TargetLeaving{"i-1"});
  Other.tell(found("i-1"));
  CHECK(Other.state() == State::Draining);
}

TEST_CASE("an announcement of a run before the one that was found is ignored") {
  Pair Case;
  const std::int64_t Born = Case.wallMs();
  Case.run(milliseconds(1000));
  Case.tell(found("i-2"));
  Case.tell(announcement("i-1", Born, 7));
  Case.tell(announcement("i-2", Born + 500, 1));
  CHECK(Case.state() == State::Serving);
}

// Guards against a health check that returns a target after the restart.
TEST_CASE("a restarted daemon knows which target has left") {
  Pair Case;
  const std::int64_t Born = Case.wallMs();
  Case.tell(announcement("i-1", Born, 1));
  Case.run(milliseconds(500));
  Case.tell(TargetLeaving{"i-1"});
  Case.run(milliseconds(500));
  Case.restartProxy();
  Case.run(milliseconds(500));
  Case.tell(found("i-1"));
  CHECK(Case.state() == State::Draining);
  Case.tell(announcement("i-1", Born + 5000, 1));
  CHECK(Case.state() == State::Serving);
}

// Guards against a gossip of its own for each repetition of a leave.
TEST_CASE("a leave that is repeated is announced once") {
  Pair Case;
  Case.tell(TargetLeaving{"i-1", Case.wallMs()});
  const auto Sequence = Case.record().Sequence;
  for (int I = 0; I < 20; ++I)
    Case.tell(TargetLeaving{"i-1", Case.wallMs()});
  CHECK(Case.record().Sequence == Sequence);
}

// Guards against repetitions that displace the leave of another run.
TEST_CASE("a leave is kept beside repeated leaves of another run") {
  Pair Case;
  Case.tell(TargetLeaving{"i-1", Case.wallMs()});
  for (int I = 0; I < 20; ++I)
    Case.tell(TargetLeaving{"i-2", Case.wallMs()});
  Case.tell(announcement("i-1", Case.wallMs(), 1));
  CHECK(Case.state() == State::Draining);
}

TEST_CASE("a restarted daemon knows which target said that it drains") {
  Pair Case;
  const std::int64_t Born = Case.wallMs();
  Case.tell(announcement("i-1", Born, 1));
  Case.tell(announcement("i-1", Born, 3, State::Draining));
  Case.run(milliseconds(500));
  Case.restartProxy();
  Case.run(milliseconds(500));
  Case.tell(announcement("i-1", Born, 2));
  CHECK(Case.state() == State::Draining);
}
