#include "dispatch_pool.h"

#include "duration_math.h"
#include "rendezvous.h"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace guavasail {

namespace {

/// Weight of the newest answer in the usual time of answers.
constexpr double TypicalWeight = 0.05;
/// Longest answer that counts in full, in usual times.
constexpr int TypicalCut = 4;
constexpr Duration LeastTypical = std::chrono::milliseconds(5);
/// A slot is kept this long after its request's deadline.
constexpr Duration ExpiryMargin = std::chrono::milliseconds(500);
/// Age at which an instance's own report of its load no longer counts.
constexpr Duration ReportLife = std::chrono::milliseconds(800);
/// An instance that refused for lack of room gets nothing for this time.
constexpr Duration FullPause = std::chrono::milliseconds(250);
/// Time for which a VM's idle connection to an instance may be expected.
constexpr Duration WarmTime = std::chrono::seconds(8);
/// Share of the instances that stay in use whatever their failures, in
/// percent, rounded up. Half of a service may fail at a time while the other
/// half can carry its load.
constexpr size_t KeptPercent = 40;

/// Costs in units of a full instance's load.
constexpr double FarCost = 0.25;
constexpr double FarLargeCost = 1.2;
constexpr double ColdConnectionCost = 0.08;
constexpr double ColdInstanceCost = 0.35;
constexpr double BadnessCost = 1.5;
constexpr double SlownessCost = 0.6;
/// An instance that has not answered for a while may have begun to fail; a
/// repeat is the last one that the request has.
constexpr double DoubtCost = 0.15;
constexpr double RepeatDoubtCost = 0.6;
constexpr Duration FullDoubt = std::chrono::seconds(2);
constexpr double AvoidCost = 3;
constexpr double HeldCost = 2;
/// The last slot of an instance slows down the others.
constexpr double NearlyFullCost = 0.25;
constexpr double NearlyFullLoad = 0.8;

/// Usual times after which an answer is unusually late, and those that a
/// repeat needs.
constexpr double EarlyPatience = 2;
constexpr double LatePatience = 3;
constexpr double RepeatTime = 1.2;

/// Answers are overdue after this many usual times.
constexpr int OverdueFactor = 3;
constexpr Duration LeastOverdue = std::chrono::milliseconds(700);

/// \returns a part of 1 that grows with the time since the last good answer.
double doubt(Duration age) {
  return std::min(1.0, inSeconds(age) / inSeconds(FullDoubt));
}

} // namespace

const DispatchPool::Strategy DispatchPool::Strategies[] = {
    {PlacementKind::Random, "random", &DispatchPool::chooseRandom},
    {PlacementKind::LeastLoaded, "least-loaded",
     &DispatchPool::chooseLeastLoaded},
    {PlacementKind::Weighed, "weighed", &DispatchPool::chooseWeighed},
};

void DispatchPool::acceptCatalog(const CatalogIndex &catalog,
                                 ServiceHandle service) {
  for (Seat &seat : Seats)
    seat.Present = false;
  for (InstanceHandle it : catalog.at(service).Instances) {
    const InstanceEntry &entry = catalog.at(it);
    uint64_t key = rendezvousKey(catalog.name(it), 0);
    Seat *seat = find(key);
    bool reborn = seat && seat->Started != entry.Spec.Started;
    if (!seat)
      seat = &Seats.emplace_back();
    else if (reborn)
      *seat = Seat{};
    seat->Instance = it;
    seat->Key = key;
    seat->Zone = entry.Zone;
    seat->Slots = std::max(entry.Spec.Slots, 1U);
    seat->Started = entry.Spec.Started;
    seat->Present = true;
    seat->Leaving = entry.Spec.Leaving;
    seat->Cold = entry.Spec.Cold;
  }
  std::erase_if(
      Seats, [](const Seat &it) { return !it.Present && it.Grants.empty(); });
}

Seat *DispatchPool::find(uint64_t key) {
  auto it = std::find_if(Seats.begin(), Seats.end(),
                         [&](const Seat &seat) { return seat.Key == key; });
  return it == Seats.end() ? nullptr : &*it;
}

uint32_t DispatchPool::room(const Seat &seat) {
  uint32_t slots = seat.Cold ? std::max(seat.Slots / 2, 1U) : seat.Slots;
  auto used = static_cast<uint32_t>(seat.Grants.size());
  return slots > used ? slots - used : 0;
}

/// \returns the part of the slots that are in use, above 1 if requests wait.
double DispatchPool::load(const Seat &seat, Instant now) const {
  double used = static_cast<double>(seat.Grants.size());
  if (now - seat.ReportedAt < ReportLife)
    used = std::max(used, static_cast<double>(seat.Reported));
  return used / seat.Slots;
}

/// Works out which failing instances stay in use because too many others fail
/// more.
void DispatchPool::findHeld(Instant now) {
  size_t present = 0;
  Failing.clear();
  for (const Seat &it : Seats) {
    if (!it.Present || it.Leaving)
      continue;
    ++present;
    if (it.Health.state(now) == SeatState::Ejected)
      Failing.push_back(it.Health.badness(now));
  }
  constexpr size_t Hundred = 100;
  size_t kept = (present * KeptPercent + Hundred - 1) / Hundred;
  size_t spared = present - std::min(kept, present);
  HeldBadness = NoneHeld;
  if (Failing.size() <= spared)
    return;
  auto nth = Failing.begin() + static_cast<std::ptrdiff_t>(spared);
  std::nth_element(Failing.begin(), nth, Failing.end(), std::greater<>());
  HeldBadness = *nth;
}

/// \returns true if some request could use the instance.
bool DispatchPool::open(const Seat &seat, Instant now) const {
  if (!seat.Present || seat.Leaving || room(seat) == 0 || now < seat.FullUntil)
    return false;
  switch (seat.Health.state(now)) {
  case SeatState::Sound:
    return true;
  case SeatState::Trial:
    return seat.Grants.empty();
  case SeatState::Ejected:
    break;
  }
  return HeldBadness != NoneHeld && seat.Health.badness(now) <= HeldBadness;
}

bool DispatchPool::usable(const Seat &seat, const PlaceInput &input,
                          Instant now) const {
  if (!open(seat, now) || seat.Health.pathBroken(input.Vm, now))
    return false;
  if (input.Pressed || seat.Health.state(now) != SeatState::Trial)
    return true;
  return !input.Retry && (input.Idempotent || seat.Health.openTrial(now));
}

bool DispatchPool::hasRoom(Instant now) {
  findHeld(now);
  return std::any_of(Seats.begin(), Seats.end(),
                     [&](const Seat &it) { return open(it, now); });
}

void DispatchPool::collect(const PlaceInput &input, Instant now) {
  findHeld(now);
  Candidates.clear();
  for (Seat &seat : Seats)
    if (usable(seat, input, now))
      Candidates.push_back(&seat);
  if (Candidates.size() > 1)
    std::erase_if(Candidates,
                  [&](const Seat *it) { return it->Key == input.Avoid; });
}

Seat *DispatchPool::choose(const PlaceInput &input, Instant now) {
  collect(input, now);
  if (Candidates.empty())
    return nullptr;
  const Strategy &strategy = Strategies[static_cast<size_t>(Placement)];
  return (this->*strategy.Pick)(input, now);
}

Seat *DispatchPool::chooseRandom(const PlaceInput &, Instant) {
  return Candidates[Random() % Candidates.size()];
}

Seat *DispatchPool::chooseLeastLoaded(const PlaceInput &, Instant now) {
  return *std::min_element(Candidates.begin(), Candidates.end(),
                           [&](const Seat *a, const Seat *b) {
                             return load(*a, now) < load(*b, now);
                           });
}

double DispatchPool::cost(const Seat &seat, const PlaceInput &input,
                          Instant now) const {
  double used = load(seat, now);
  double sum = used + 1.0 / seat.Slots;
  if (sum > NearlyFullLoad)
    sum += NearlyFullCost;
  if (seat.Zone != input.Zone)
    sum += input.Large ? FarLargeCost : FarCost;
  bool warm = input.Vm.Value < seat.UsedAt.size() &&
              now - seat.UsedAt[input.Vm.Value] < WarmTime;
  sum += warm ? 0 : ColdConnectionCost;
  sum += seat.Cold ? ColdInstanceCost : 0;
  sum += seat.Health.badness(now) * BadnessCost;
  sum += (seat.Health.slowness(now) - 1) * SlownessCost;
  sum += doubt(now - seat.Health.provenAt()) *
         (input.Retry ? RepeatDoubtCost : DoubtCost);
  sum += seat.Key == input.Avoid ? AvoidCost : 0;
  if (seat.Health.state(now) == SeatState::Ejected)
    sum += HeldCost;
  return sum;
}

Seat *DispatchPool::chooseWeighed(const PlaceInput &input, Instant now) {
  // A random start decides among equals.
  size_t start = Random() % Candidates.size();
  Seat *best = nullptr;
  double least = 0;
  for (size_t n = 0; n < Candidates.size(); ++n) {
    Seat *it = Candidates[(start + n) % Candidates.size()];
    // A trial has to be made, or the instance would never come back.
    bool trial = it->Health.state(now) == SeatState::Trial &&
                 input.Idempotent && !input.Retry;
    double price = trial ? 0 : cost(*it, input, now);
    if (best && price >= least)
      continue;
    best = it;
    least = price;
  }
  return best;
}

void DispatchPool::take(Seat &seat, const SlotGrant &grant) {
  seat.Grants.push_back(grant);
  if (!grant.Vm.valid())
    return;
  if (grant.Vm.Value >= seat.UsedAt.size())
    seat.UsedAt.resize(grant.Vm.Value + 1);
  seat.UsedAt[grant.Vm.Value] = grant.Given;
}

bool DispatchPool::release(VmHandle vm, const PlacementRelease &done, Instant now) {
  Seat *seat = find(done.Instance);
  if (!seat)
    return false;
  size_t freed = std::erase_if(seat->Grants, [&](const SlotGrant &it) {
    return it.Vm == vm && it.Request == done.Request &&
           it.Ordinal == done.Ordinal;
  });
  seat->Health.note(done.Outcome, vm, done.Elapsed, Typical, now);
  if (done.Outcome == AttemptOutcome::Ok) {
    Duration counted = std::min(done.Elapsed, Typical * TypicalCut);
    Typical = std::max(LeastTypical, scaled(Typical, 1 - TypicalWeight) +
                                         scaled(counted, TypicalWeight));
  }
  if (done.Outcome == AttemptOutcome::Shed)
    seat->FullUntil = now + FullPause;
  if (done.LoadKnown) {
    seat->Reported = done.Running + done.Waiting;
    seat->ReportedAt = now;
  }
  return freed > 0;
}

void DispatchPool::dropVm(VmHandle vm) {
  for (Seat &seat : Seats)
    std::erase_if(seat.Grants,
                  [&](const SlotGrant &it) { return it.Vm == vm; });
}

void DispatchPool::advance(Instant now) {
  Duration overdue = std::max(Typical * OverdueFactor, LeastOverdue);
  for (Seat &seat : Seats) {
    std::erase_if(seat.Grants, [&](const SlotGrant &it) {
      return it.Expires + ExpiryMargin <= now;
    });
    for (SlotGrant &it : seat.Grants) {
      if (it.Overdue || now - it.Given < overdue)
        continue;
      it.Overdue = true;
      seat.Health.noteOverdue(it.Vm, now);
    }
  }
}

uint32_t DispatchPool::capacity(Instant now) const {
  uint32_t slots = 0;
  for (const Seat &it : Seats)
    if (it.Present && !it.Leaving && it.Health.state(now) == SeatState::Sound)
      slots += it.Cold ? std::max(it.Slots / 2, 1U) : it.Slots;
  return std::max(slots, 1U);
}

Duration DispatchPool::patience(Duration useful, bool pressed) const {
  // Late enough not to repeat what would come, early enough for the repeat to
  // meet the objective. A busy service is slow by itself.
  Duration early = scaled(Typical, EarlyPatience);
  Duration late = scaled(Typical, LatePatience);
  if (pressed)
    return late;
  return std::min(late, std::max(early, useful - scaled(Typical, RepeatTime)));
}

bool DispatchPool::busy() const {
  return std::any_of(Seats.begin(), Seats.end(),
                     [](const Seat &it) { return !it.Grants.empty(); });
}

} // namespace guavasail
