/// \file
/// Health evidence: outcome counts and latency histograms by instance.
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

/// Logarithmic buckets, two per octave; the first ends at 1.4 ms.
inline constexpr uint32_t NumLatencyBuckets = 24;

/// Cells that follow the latency buckets of successful responses.
inline constexpr uint8_t CellError = NumLatencyBuckets;
inline constexpr uint8_t CellFault = NumLatencyBuckets + 1;
inline constexpr uint8_t CellTimeout = NumLatencyBuckets + 2;
inline constexpr uint8_t CellUnreachable = NumLatencyBuckets + 3;
/// An attempt still open long after the service's usual latency.
inline constexpr uint8_t CellStalled = NumLatencyBuckets + 4;
/// Cancels a failure reported earlier that the instance did not cause.
inline constexpr uint8_t CellRetracted = NumLatencyBuckets + 5;
inline constexpr uint32_t NumCellKinds = NumLatencyBuckets + 6;

/// \returns the bucket that counts \p latency.
uint8_t latencyBucket(Duration latency);

/// \returns the lower bound of \p bucket; zero for the first.
Duration bucketStart(uint32_t bucket);

/// \returns the cell that counts \p kind; \p latency is used for `Ok` only.
uint8_t evidenceCell(OutcomeKind kind, Duration latency);

/// \returns the key that identifies an instance in messages: a hash of its
/// full name.
uint32_t instanceKey(std::string_view name);

/// \returns the key that identifies a service in messages: a hash of its name.
uint64_t serviceKey(std::string_view name);

/// Evidence of one instance: counts by cell.
using CellCounts = std::array<uint16_t, NumCellKinds>;

/// Latency histogram with exponential decay.
class LatencyHistogram {
public:
  /// Counts one latency.
  void add(uint8_t bucket) { Counts[bucket] += 1; }

  /// Multiplies all counts by \p factor.
  void decay(float factor);

  /// \returns the bucket that contains \p quantile, from 0 to 1.
  [[nodiscard]] uint32_t quantileBucket(float quantile) const;

  /// \returns the decayed number of latencies.
  [[nodiscard]] float total() const;

private:
  std::array<float, NumLatencyBuckets> Counts{};
};

/// Accumulates evidence between two reports.
class EvidenceCollector {
public:
  /// Allocates counts for \p count instances.
  void resize(size_t count);

  /// Counts one sample.
  void add(InstanceHandle instance, uint8_t cell);

  /// Removes one sample that has not been reported.
  /// \returns false if there is none.
  bool remove(InstanceHandle instance, uint8_t cell);

  /// \returns instances with samples, in the order of their first sample.
  [[nodiscard]] std::span<InstanceHandle> dirty() { return Dirty; }

  [[nodiscard]] const CellCounts &counts(InstanceHandle instance) const {
    return Counts[instance.Value];
  }

  /// Resets all counts.
  void clear();

private:
  std::vector<CellCounts> Counts;
  std::vector<InstanceHandle> Dirty;
  std::vector<bool> IsDirty;
};

/// One attempt in progress.
struct TrackedAttempt {
  AttemptHandle Attempt;
  InstanceHandle Instance;
  ServiceHandle Service;
  Instant Started;
  /// Already counted in `CellStalled`.
  bool Stalled = false;
  /// The head of a successful response was received.
  bool Answered = false;
  bool Live = false;
};

/// Attempts in progress by handle, at most two per request.
class AttemptTracker {
public:
  /// \returns the entry for \p attempt; grows the table if needed.
  TrackedAttempt &entryFor(AttemptHandle attempt);

  /// \returns the entry of \p attempt, or null if it is not tracked.
  TrackedAttempt *find(AttemptHandle attempt);

  /// \returns all entries, live or not.
  [[nodiscard]] std::span<TrackedAttempt> items() { return Items; }

private:
  static constexpr uint32_t MaxAttemptsPerRequest = 2;

  static size_t slotIndex(AttemptHandle attempt) {
    return size_t{attempt.Request.Index} * MaxAttemptsPerRequest +
           attempt.Ordinal % MaxAttemptsPerRequest;
  }

  std::vector<TrackedAttempt> Items;
};

} // namespace guavasail

#endif
