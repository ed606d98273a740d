/// \file
/// Measures records: time per claim, memory per record, encoded message sizes.
#include "peer_codec_cbor.h"
#include "record_book.h"

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <new>
#include <string_view>
#include <vector>

namespace {

/// Heap bytes allocated minus bytes freed.
int64_t HeapBytes = 0;

} // namespace

void *operator new(size_t size) {
  void *memory = std::malloc(size);
  if (!memory)
    throw std::bad_alloc();
  HeapBytes += static_cast<int64_t>(size);
  return memory;
}
void operator delete(void *memory) noexcept { std::free(memory); }
void operator delete(void *memory, size_t size) noexcept {
  HeapBytes -= static_cast<int64_t>(size);
  std::free(memory);
}

namespace guavasail {

namespace {

using Clock = std::chrono::steady_clock;

constexpr uint32_t RecordCount = 100000;
constexpr size_t ResponseBytes = 300;
constexpr Instant Start{std::chrono::seconds(1000)};

/// \returns a digest; digests are spread evenly over the partitions.
Digest recordOf(uint64_t n) {
  Digest digest;
  uint64_t mixed = n * 0x9e3779b97f4a7c15;
  for (size_t it = 0; it < sizeof(mixed); ++it) {
    digest.Bytes[it] = static_cast<uint8_t>(mixed >> (8 * it));
    digest.Bytes[it + sizeof(mixed)] = static_cast<uint8_t>(n >> (8 * it));
  }
  return digest;
}

RecordClaim claimOf(uint64_t n) {
  RecordClaim claim;
  claim.Record = recordOf(n);
  claim.Fingerprint = n;
  claim.Epoch = 1;
  claim.Token = n + 1;
  claim.RunTimeout = std::chrono::seconds(10);
  return claim;
}

void print(std::string_view name, double value, std::string_view unit) {
  std::cout << "records." << name << " " << value << " " << unit << "\n";
}

double nanosPerRecord(Clock::time_point from) {
  std::chrono::duration<double, std::nano> took = Clock::now() - from;
  return took.count() / RecordCount;
}

std::unique_ptr<RecordReplica> makeReplica() {
  RecordLimits limits;
  limits.MaxBytes = uint64_t{1} << 30;
  auto replica = std::make_unique<RecordReplica>(limits);
  replica->setSelf({1, 1});
  RecordAssignment assignment;
  assignment.Epoch = 1;
  assignment.Replicas.Items[0] = {1, 1};
  for (uint32_t n = 0; n < RecordPartitions; ++n)
    replica->assign(n, assignment, Start);
  return replica;
}

void measureReplica() {
  auto replica = makeReplica();
  int64_t before = HeapBytes;
  auto from = Clock::now();
  for (uint32_t n = 0; n < RecordCount; ++n)
    replica->claim(claimOf(n), Start);
  print("claim", nanosPerRecord(from), "ns");
  print("record", static_cast<double>(HeapBytes - before) / RecordCount,
        "bytes");
  std::string response(ResponseBytes, 'a');
  from = Clock::now();
  for (uint32_t n = 0; n < RecordCount; ++n)
    replica->settle(
        {recordOf(n), n, uint64_t{n} + 1, RecordState::Done, response}, Start);
  print("settle", nanosPerRecord(from), "ns");
  print("record_with_300_byte_answer",
        static_cast<double>(HeapBytes - before) / RecordCount, "bytes");
  from = Clock::now();
  for (uint32_t n = 0; n < RecordCount; ++n)
    replica->claim(claimOf(n), Start);
  print("repeated_claim", nanosPerRecord(from), "ns");
}

double encodedBytes(const PeerBody &body) {
  std::vector<uint8_t> out;
  return static_cast<double>(encode(body, out));
}

void measureMessages() {
  print("claim_message", encodedBytes(claimOf(1)), "bytes");
  print("reply_message", encodedBytes(RecordClaimReply{}), "bytes");
  RecordOutcome settle{recordOf(1), 1, 2, RecordState::Done,
                       std::string(ResponseBytes, 'a')};
  print("settle_message", encodedBytes(settle), "bytes");
}

} // namespace

} // namespace guavasail

int main() {
  guavasail::measureReplica();
  guavasail::measureMessages();
  return 0;
}
