#include "member_fleet.h"

#include <algorithm>
#include <array>
#include <string>
#include <tuple>

namespace guavasail {

namespace {

constexpr std::array<const char *, 4> ZoneNames = {
    "kerdaniel-haut", "kerdaniel-bas", "depot-rennes", "siege-quimper"};
constexpr uint64_t FirstIncarnation = 1ull << 40;

} // namespace

MemberFleet::MemberFleet(size_t size, MembershipKind kind, uint64_t seed)
    : Nodes(size), Blocked(size * size), Random(seed) {
  for (size_t n = 0; n < size; ++n) {
    VmSpec spec;
    spec.Name = "vm-" + std::to_string(n);
    spec.Address = "127.0.0.1";
    spec.PeerPort = static_cast<uint32_t>(1000 + n);
    spec.Zone = ZoneNames[n % ZoneNames.size()];
    Specs.push_back(spec);
  }
  for (size_t n = 0; n < size; ++n) {
    Nodes[n].Zones = std::make_unique<CatalogIndex>();
    MembershipInit init{Specs[n], FirstIncarnation, kind, seed * size + n};
    Nodes[n].Part = std::make_unique<Membership>(init, *Nodes[n].Zones);
  }
  publishList(Specs);
}

void MemberFleet::publishList(std::span<const VmSpec> list) {
  for (size_t n = 0; n < Nodes.size(); ++n) {
    Nodes[n].Part->onList(list, {Now, Effects});
    flush(n);
  }
}

void MemberFleet::setIsolated(size_t node, bool blocked) {
  for (size_t n = 0; n < Nodes.size(); ++n) {
    setBlocked(node, n, blocked);
    setBlocked(n, node, blocked);
  }
}

bool MemberFleet::later(const Packet &left, const Packet &right) {
  return std::tie(left.Due, left.Order) > std::tie(right.Due, right.Order);
}

Instant MemberFleet::dueOf(const Node &node) const {
  if (node.Stopped)
    return NeverInstant;
  return std::max(node.Part->nextDue(), node.PausedUntil);
}

void MemberFleet::step() {
  Instant due = Queue.empty() ? NeverInstant : Queue.front().Due;
  auto node = std::min_element(Nodes.begin(), Nodes.end(),
                               [this](const Node &left, const Node &right) {
                                 return dueOf(left) < dueOf(right);
                               });
  if (dueOf(*node) <= due) {
    Now = std::max(Now, dueOf(*node));
    node->Part->advance({Now, Effects});
    flush(static_cast<size_t>(node - Nodes.begin()));
    return;
  }
  std::pop_heap(Queue.begin(), Queue.end(), later);
  Packet packet = std::move(Queue.back());
  Queue.pop_back();
  Now = std::max(Now, packet.Due);
  deliver(packet);
}

void MemberFleet::deliver(const Packet &packet) {
  Node &node = Nodes[packet.To];
  if (node.Stopped)
    return;
  if (node.PausedUntil > Now) {
    // The kernel buffers messages that arrive during a pause.
    Packet kept = packet;
    kept.Due = node.PausedUntil + Duration(1);
    Queue.push_back(std::move(kept));
    std::push_heap(Queue.begin(), Queue.end(), later);
    return;
  }
  VmHandle from = node.Part->find(Specs[packet.From].Name);
  std::visit(
      [&](const auto &body) {
        MemberStep step{Now, Effects};
        if constexpr (requires { node.Part->onMessage(from, body, step); })
          node.Part->onMessage(from, body, step);
      },
      packet.Body);
  flush(packet.To);
}

void MemberFleet::flush(size_t from) {
  for (const Effect &effect : Effects.items())
    if (const auto *it = std::get_if<SendPeer>(&effect))
      send(from, *it);
  Effects.clear();
}

void MemberFleet::send(size_t from, const SendPeer &effect) {
  ++Sent;
  const std::string &name = view(from).at(effect.To).Name;
  size_t to = 0;
  while (to < Specs.size() && Specs[to].Name != name)
    ++to;
  if (to == Specs.size() || Blocked[from * Nodes.size() + to])
    return;
  std::uniform_int_distribution<uint32_t> percent(0, 99);
  std::uniform_int_distribution<Duration::rep> delay(Quality.MinDelay.count(),
                                                     Quality.MaxDelay.count());
  size_t copies = percent(Random) < Quality.RepeatPercent ? 2 : 1;
  for (size_t n = 0; n < copies; ++n) {
    if (percent(Random) < Quality.LossPercent)
      continue;
    Queue.push_back(
        {Now + Duration(delay(Random)), Sent, from, to, effect.Body});
    std::push_heap(Queue.begin(), Queue.end(), later);
  }
}

void MemberFleet::run(Duration time, const std::function<void()> &observe) {
  Instant end = Now + time;
  while (Now < end) {
    step();
    if (observe)
      observe();
  }
}

Duration MemberFleet::runUntil(const std::function<bool()> &done,
                               Duration limit) {
  Instant start = Now;
  while (!done() && Now - start < limit)
    step();
  return std::min(Now - start, limit);
}

const VmEntry &MemberFleet::entry(size_t observer, size_t subject) const {
  const Membership &part = *Nodes[observer].Part;
  return part.view().at(part.find(Specs[subject].Name));
}

size_t MemberFleet::count(size_t subject, VmState state) const {
  size_t n = 0;
  for (size_t it = 0; it < Nodes.size(); ++it)
    if (it != subject && !Nodes[it].Stopped &&
        entry(it, subject).State == state)
      ++n;
  return n;
}

size_t MemberFleet::running() const {
  return static_cast<size_t>(std::count_if(
      Nodes.begin(), Nodes.end(), [](const Node &it) { return !it.Stopped; }));
}

} // namespace guavasail
