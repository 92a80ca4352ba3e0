#pragma once

#include "support/lonecontrol.h"

#include <memory>
#include <string>

namespace persimmon {

using State = wire::TargetState;

inline const std::string ControlAddress = "127.0.0.1:7380";
inline const std::string ProxyAddress = "127.0.0.2:7380";
inline const std::string OtherAddress = "127.0.0.3:7380";
constexpr std::int64_t StartMs = 1'700'000'000'000;

inline TargetAnnounced announcement(const std::string &Id, std::int64_t Born,
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

inline TargetFound found(const std::string &Id) { return {"team/work", Id, 8}; }

/// A proxy, another one and the only control instance. Messages between them
/// arrive at once.
class Trio {
public:
  Trio() {
    this->restartControl();
    this->restartProxy();
    this->Other = this->makeProxy("other", OtherAddress, 1);
    this->replaceSettings();
    this->run(milliseconds(4000));
  }

  void restartProxy() {
    this->Proxy = this->makeProxy("proxy", ProxyAddress, ++this->Incarnation);
    this->ProxyStartedAt = this->Now;
  }

  /// Restarts the control instance, which then knows no member.
  void restartControl() {
    this->Control =
        makeLoneControl(ControlAddress, {}, this->policies(), this->Now);
    this->send(*this->Control, BootstrapRequested{{ControlAddress}});
  }

  /// Restarts all three.
  void restartAll() {
    this->restartControl();
    this->restartProxy();
    this->restartOther();
  }

  void restartOther() {
    this->Other = this->makeProxy("other", OtherAddress, ++this->Incarnation);
  }

  void tell(EventBody Body) { this->send(*this->Proxy, std::move(Body)); }

  /// Announces a run whose health check passes.
  void use(const TargetAnnounced &Announcement) {
    this->tell(found(Announcement.InstanceId));
    this->tell(Announcement);
  }

  /// Returns how many messages have told the proxy what it had announced before
  /// its last restart.
  int formerTold() const { return this->FormerTold; }

  void run(milliseconds For) {
    for (const Time End = this->Now + For; this->Now < End;) {
      this->Now += milliseconds(20);
      this->send(*this->Control, Tick());
      this->send(*this->Proxy, Tick());
      this->send(*this->Other, Tick());
    }
  }

  /// Returns the time of day, in ms since 1970.
  std::int64_t wallMs() const {
    return StartMs + std::chrono::duration_cast<milliseconds>(
                         this->Now.time_since_epoch())
                         .count();
  }

  State::type state() const { return this->target().State; }
  const TargetAnnounced &target() const { return this->Proxy->target(); }

  /// Returns whether the proxy's host would ask the target for its health,
  /// which it does for \p Discovery after its start and while it holds an
  /// announcement.
  bool wantsHealth(milliseconds Discovery) const {
    return this->Proxy->needsTargetHealth(this->Now) &&
           (this->Now < this->ProxyStartedAt + Discovery ||
            this->Proxy->holdsAnnouncement(this->Now));
  }

  const wire::MemberRecord &record() const {
    return this->Proxy->members().self();
  }

private:
  std::unique_ptr<Node> makeProxy(const std::string &Name,
                                  const std::string &Address,
                                  std::int64_t Incarnation) {
    NodeIdentity Identity;
    Identity.Name = Name;
    Identity.Address = Address;
    Identity.Incarnation = Incarnation;
    Identity.Seeds = {ControlAddress};
    return Node::makeProxy(Identity, this->policies());
  }

  /// Puts settings with the services "work" and "rest" in force.
  void replaceSettings() {
    ReplaceRequested Request;
    Request.Trusted = true;
    Request.Document.Team = "team";
    Request.Document.Number = 1;
    Request.Document.Digest = "digest";
    Request.Document.Values = {{"team/services/work", "{}"},
                               {"team/services/rest", "{}"}};
    this->run(milliseconds(3000));
    this->send(*this->Control, Request);
  }

  NodePolicies policies() { return {this->Choice, this->VersionTopology}; }

  void send(Node &To, EventBody Body) {
    const Effects Out = To.reduce({this->Now, this->wallMs(), std::move(Body)});
    const std::string From = To.members().self().Address;
    for (const Effect &Item : Out) {
      const auto *Sent = std::get_if<SendMessage>(&Item);
      Node *Receiver = Sent == nullptr ? nullptr : this->at(Sent->Address);
      if (Receiver != nullptr && Receiver == this->Proxy.get())
        this->countFormer(Sent->Body);
      if (Receiver != nullptr && Receiver != &To)
        this->send(*Receiver, MessageReceived{From, Sent->Body});
    }
  }

  void countFormer(const Message &Body) {
    const auto *Told = std::get_if<wire::Announce>(&Body);
    if (Told == nullptr)
      return;
    for (const wire::MemberRecord &Item : Told->Head.Updates)
      this->FormerTold +=
          Item.Name == "proxy" && Item.Incarnation < this->Incarnation ? 1 : 0;
  }

  Node *at(const std::string &Address) {
    for (Node *Item :
         {this->Control.get(), this->Proxy.get(), this->Other.get()}) {
      if (Item != nullptr && Item->members().self().Address == Address)
        return Item;
    }
    return nullptr;
  }

  LeastOfTwo Choice;
  PeerTopology VersionTopology;
  Time Now = Time() + std::chrono::hours(1);
  std::int64_t Incarnation = 0;
  int FormerTold = 0;
  Time ProxyStartedAt;
  std::unique_ptr<Node> Control;
  std::unique_ptr<Node> Proxy;
  std::unique_ptr<Node> Other;
};

} // namespace persimmon
