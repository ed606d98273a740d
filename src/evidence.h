/// \file
/// Evidence of health: outcome counts and latencies of a slice of time.
#ifndef GUAVASAIL_SRC_EVIDENCE_H
#define GUAVASAIL_SRC_EVIDENCE_H

#include "guavasail/clock.h"
#include "guavasail/handle.h"
#include "guavasail/health.h"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace guavasail {

/// Buckets of half an octave, the first below 1.4 ms.
inline constexpr uint32_t LatencyBuckets = 24;

/// Kinds of evidence after the latency buckets of good answers.
inline constexpr uint8_t CellError = LatencyBuckets;
inline constexpr uint8_t CellFault = LatencyBuckets + 1;
inline constexpr uint8_t CellTimeout = LatencyBuckets + 2;
inline constexpr uint8_t CellUnreachable = LatencyBuckets + 3;
/// An attempt that is outstanding for much longer than others take.
inline constexpr uint8_t CellStalled = LatencyBuckets + 4;
/// A failure that was counted before and is not the instance's fault.
inline constexpr uint8_t CellForgiven = LatencyBuckets + 5;
inline constexpr uint32_t CellKinds = LatencyBuckets + 6;

/// \returns the bucket of a latency.
uint8_t latencyBucket(Duration latency);

/// \returns the least latency of \p bucket; zero for the first.
Duration bucketStart(uint32_t bucket);

/// \returns the cell that counts \p kind; \p latency matters for `Ok` only.
uint8_t evidenceCell(OutcomeKind kind, Duration latency);

/// \returns the key of an instance in messages, from its full name.
uint32_t instanceKey(std::string_view name);

/// \returns the key of a service in messages.
uint64_t serviceKey(std::string_view name);

/// Counts of one instance, by cell.
using CellCounts = std::array<uint16_t, CellKinds>;

/// Sums of latencies by bucket that fade with time.
class LatencySketch {
public:
  /// Counts one latency.
  void add(uint8_t bucket) { Counts[bucket] += 1; }

  /// Lets old latencies count for \p factor of what they did.
  void fade(float factor);

  /// \returns the bucket below which a share of \p quantile lies.
  [[nodiscard]] uint32_t quantileBucket(float quantile) const;

  /// \returns the faded number of latencies.
  [[nodiscard]] float total() const;

private:
  std::array<float, LatencyBuckets> Counts{};
};

/// Counts evidence between two reports.
class EvidenceCollector {
public:
  /// Makes room for \p count instances.
  void resize(size_t count);

  /// Counts one piece of evidence.
  void add(InstanceHandle instance, uint8_t cell);

  /// Removes one piece of evidence that was not reported yet.
  /// \returns false if there is none.
  bool takeBack(InstanceHandle instance, uint8_t cell);

  /// \returns instances with evidence, in the order of their first evidence.
  [[nodiscard]] std::span<InstanceHandle> dirty() { return Dirty; }

  [[nodiscard]] const CellCounts &counts(InstanceHandle instance) const {
    return Counts[instance.Value];
  }

  /// Forgets all evidence.
  void clear();

private:
  std::vector<CellCounts> Counts;
  std::vector<InstanceHandle> Dirty;
  std::vector<bool> IsDirty;
};

/// One attempt that was sent and not answered yet.
struct WatchedAttempt {
  AttemptHandle Attempt;
  InstanceHandle Instance;
  ServiceHandle Service;
  Instant Started;
  /// Counted as stalled already.
  bool Stalled = false;
  /// The head of a good answer came.
  bool Answered = false;
  bool Live = false;
};

/// Attempts in progress, found by handle. At most two of a request are kept.
class AttemptWatch {
public:
  /// \returns the entry for \p attempt, growing the table if needed.
  WatchedAttempt &open(AttemptHandle attempt);

  /// \returns the entry of \p attempt, or null if it is not watched.
  WatchedAttempt *find(AttemptHandle attempt);

  /// \returns all entries, live or not.
  [[nodiscard]] std::span<WatchedAttempt> items() { return Items; }

private:
  static constexpr uint32_t PerRequest = 2;

  static size_t place(AttemptHandle attempt) {
    return size_t{attempt.Request.Index} * PerRequest +
           attempt.Ordinal % PerRequest;
  }

  std::vector<WatchedAttempt> Items;
};

} // namespace guavasail

#endif
