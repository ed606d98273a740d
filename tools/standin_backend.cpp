/// \file
/// Stand-in for a backend server: slots, load reports and gray faults that are
/// switched while it runs.
#include "run_book.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <gflags/gflags.h>
#include <libwebsockets.h>
#include <span>
#include <string>
#include <string_view>

DEFINE_uint32(port, 9001, "TCP port on 127.0.0.1");
DEFINE_uint32(slots, 6, "requests run at the same time");
DEFINE_uint32(queue, 64, "requests that wait for a slot before shedding");
DEFINE_uint32(work_us, 0, "time a request takes, in microseconds");
DEFINE_string(name, "backend", "name in answers");
DEFINE_uint32(cold_ms, 0, "time after the start in which requests are slow");
DEFINE_string(forbid, "", "text that must be in no request, such as a key");

namespace {

constexpr size_t HeadBytes = 2048;
constexpr size_t ChunkBytes = 16 * 1024;
constexpr uint32_t SlowFactor = 10;
constexpr uint32_t SlowFloorUs = 20000;
constexpr std::string_view ControlPrefix = "/-/";
constexpr std::string_view FaultPrefix = "/-/fault/";
constexpr size_t FieldBytes = 1024;
constexpr std::string_view ArchivePrefix = "/archive/";
constexpr std::string_view CrashMark = "crash-me";

/// How the stand-in misbehaves.
enum class Fault : uint8_t {
  None,
  Slow,
  Stall,
  Truncate,
  Reset,
  Error,
  Shed,
  /// Says that it is leaving and runs on.
  Drain,
  /// Says that it is unhealthy and runs on.
  WrongHealth,
};

struct FaultRow {
  std::string_view Name;
  Fault Kind;
};

constexpr auto FaultRows = std::to_array<FaultRow>({
    {"none", Fault::None},
    {"slow", Fault::Slow},
    {"stall", Fault::Stall},
    {"truncate", Fault::Truncate},
    {"reset", Fault::Reset},
    {"error", Fault::Error},
    {"shed", Fault::Shed},
    {"drain", Fault::Drain},
    {"wrong-health", Fault::WrongHealth},
});

/// One request in progress; lives as long as its connection.
struct Job {
  lws_sorted_usec_list_t Timer;
  lws *Wsi;
  uint64_t BodyBytes;
  uint64_t SentBytes;
  uint64_t ReceivedBytes;
  uint64_t ExpectedBytes;
  uint32_t Status;
  bool Active;
  bool Running;
  bool HeadSent;
  bool Due;
  bool Bodyless;
};

Fault CurrentFault = Fault::None;
uint32_t Running = 0;
uint64_t Runs = 0;
uint64_t ForbiddenSeen = 0;
RunBook Book;
lws_usec_t StartedAt = 0;
std::deque<Job *> Waiting;

void finishTimer(lws_sorted_usec_list_t *timer) {
  Job *job = lws_container_of(timer, Job, Timer);
  job->Due = true;
  lws_callback_on_writable(job->Wsi);
}

void runJob(Job *job) {
  job->Running = true;
  ++Running;
  ++Runs;
  if (CurrentFault == Fault::Stall)
    return;
  uint32_t work = FLAGS_work_us;
  bool cold = lws_now_usecs() - StartedAt <
              static_cast<lws_usec_t>(FLAGS_cold_ms) * LWS_US_PER_MS;
  if (CurrentFault == Fault::Slow || cold)
    work = std::max(work * SlowFactor, SlowFloorUs);
  if (work == 0) {
    job->Due = true;
    lws_callback_on_writable(job->Wsi);
    return;
  }
  lws_sul_schedule(lws_get_context(job->Wsi), 0, &job->Timer, &finishTimer,
                   work);
}

void endJob(Job *job) {
  if (!job->Active)
    return;
  job->Active = false;
  lws_sul_cancel(&job->Timer);
  std::erase(Waiting, job);
  if (!job->Running)
    return;
  job->Running = false;
  --Running;
  if (Waiting.empty())
    return;
  Job *next = Waiting.front();
  Waiting.pop_front();
  runJob(next);
}

void startJob(Job *job) {
  if (Running < FLAGS_slots)
    return runJob(job);
  Waiting.push_back(job);
}

bool addField(lws *wsi, const char *name, const std::string &value,
              unsigned char **at, unsigned char *end) {
  return lws_add_http_header_by_name(
             wsi, reinterpret_cast<const unsigned char *>(name),
             reinterpret_cast<const unsigned char *>(value.data()),
             static_cast<int>(value.size()), at, end) == 0;
}

bool sendHead(Job *job, bool notRun) {
  std::array<unsigned char, LWS_PRE + HeadBytes> buf;
  unsigned char *at = buf.data() + LWS_PRE;
  unsigned char *end = buf.data() + buf.size();
  bool ok =
      !lws_add_http_header_status(job->Wsi, job->Status, &at, end) &&
      addField(job->Wsi, "content-type:", "text/plain", &at, end) &&
      addField(job->Wsi, "x-slots-in-use:", std::to_string(Running), &at, end);
  if (CurrentFault == Fault::Drain)
    ok = ok && addField(job->Wsi, "x-leaving:", "1", &at, end);
  if (notRun)
    ok = ok && addField(job->Wsi, "x-not-run:", "1", &at, end);
  ok = ok &&
       !lws_add_http_header_content_length(job->Wsi, job->BodyBytes, &at, end);
  job->HeadSent = true;
  return ok && !lws_finalize_write_http_header(job->Wsi, buf.data() + LWS_PRE,
                                               &at, end);
}

/// The body is a repeated alphabet, so that a caller can check every byte.
int sendChunk(Job *job) {
  size_t n = std::min<uint64_t>(ChunkBytes, job->BodyBytes - job->SentBytes);
  if (CurrentFault == Fault::Truncate && job->SentBytes + n == job->BodyBytes)
    n /= 2;
  std::array<unsigned char, LWS_PRE + ChunkBytes> buf;
  for (size_t it = 0; it < n; ++it)
    buf[LWS_PRE + it] =
        static_cast<unsigned char>('a' + (job->SentBytes + it) % 26);
  job->SentBytes += n;
  bool last = job->SentBytes == job->BodyBytes;
  if (lws_write(job->Wsi, buf.data() + LWS_PRE, n,
                last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0)
    return -1;
  if (CurrentFault == Fault::Truncate && !last &&
      job->BodyBytes - job->SentBytes < ChunkBytes)
    return -1;
  if (!last) {
    lws_callback_on_writable(job->Wsi);
    return 0;
  }
  endJob(job);
  return lws_http_transaction_completed(job->Wsi) ? -1 : 0;
}

int answer(Job *job) {
  if (!job->Active || !job->Due)
    return 0;
  if (CurrentFault == Fault::Reset && !job->HeadSent)
    return -1;
  if (!job->HeadSent && !sendHead(job, false))
    return -1;
  if (!job->Bodyless)
    return sendChunk(job);
  endJob(job);
  return lws_http_transaction_completed(job->Wsi) ? -1 : 0;
}

int shed(Job *job) {
  job->Status = HTTP_STATUS_SERVICE_UNAVAILABLE;
  job->BodyBytes = 0;
  bool sent = sendHead(job, true);
  return !sent || lws_http_transaction_completed(job->Wsi) ? -1 : 0;
}

/// Answers with a short text at once.
int answerText(Job *job, const std::string &text) {
  job->BodyBytes = text.size();
  std::string buf(LWS_PRE, '\0');
  buf += text;
  bool sent = sendHead(job, false) &&
              lws_write(job->Wsi,
                        reinterpret_cast<unsigned char *>(buf.data()) + LWS_PRE,
                        text.size(), LWS_WRITE_HTTP_FINAL) >= 0;
  return !sent || lws_http_transaction_completed(job->Wsi) ? -1 : 0;
}

int answerHealth(Job *job) {
  bool bad = CurrentFault == Fault::Drain || CurrentFault == Fault::WrongHealth;
  if (bad)
    job->Status = HTTP_STATUS_SERVICE_UNAVAILABLE;
  return answerText(job, bad ? "unhealthy\n" : "healthy\n");
}

int answerRuns(Job *job) { return answerText(job, Book.lines()); }

int answerRunning(Job *job) {
  return answerText(job, std::to_string(Running) + "\n");
}

int answerForbidden(Job *job) {
  return answerText(job, std::to_string(ForbiddenSeen) + "\n");
}

/// A path that the stand-in answers at once.
struct ControlRow {
  std::string_view Path;
  int (*Answer)(Job *job);
};

constexpr auto ControlRows = std::to_array<ControlRow>({
    {"/-/health", &answerHealth},
    {"/-/runs", &answerRuns},
    {"/-/running", &answerRunning},
    {"/-/forbidden", &answerForbidden},
});

int control(Job *job, std::string_view path) {
  for (const ControlRow &row : ControlRows)
    if (row.Path == path)
      return row.Answer(job);
  for (const FaultRow &row : FaultRows) {
    if (!path.starts_with(FaultPrefix) ||
        path.substr(FaultPrefix.size()) != row.Name)
      continue;
    CurrentFault = row.Kind;
    return answerText(job, std::string(row.Name) + "\n");
  }
  job->Status = HTTP_STATUS_NOT_FOUND;
  return answerText(job, "unknown control path\n");
}

/// Counts a request that holds the forbidden text in a place where keys come.
void checkForbidden(lws *wsi) {
  if (FLAGS_forbid.empty())
    return;
  constexpr auto Places = std::to_array<lws_token_indexes>(
      {WSI_TOKEN_HTTP_AUTHORIZATION, WSI_TOKEN_HTTP_URI_ARGS,
       WSI_TOKEN_HTTP_COOKIE, WSI_TOKEN_HTTP_REFERER});
  constexpr std::string_view KeyHeader = "x-api-key:";
  std::array<char, FieldBytes> buf{};
  bool seen = false;
  for (lws_token_indexes place : Places)
    if (lws_hdr_copy(wsi, buf.data(), buf.size(), place) > 0)
      seen |= std::string_view(buf.data()).find(FLAGS_forbid) !=
              std::string_view::npos;
  seen |= lws_hdr_custom_length(wsi, KeyHeader.data(), KeyHeader.size()) > 0;
  ForbiddenSeen += seen ? 1 : 0;
}

/// Notes a numbered request that is not idempotent ("?n=NAME").
void noteRun(lws *wsi) {
  std::array<char, FieldBytes> buf{};
  if (lws_hdr_total_length(wsi, WSI_TOKEN_POST_URI) <= 0)
    return;
  if (const char *name =
          lws_get_urlarg_by_name(wsi, "n=", buf.data(), buf.size()))
    Book.add(name);
}

/// \returns the body length that \p path asks for: "/archive/BYTES", or a
/// small answer.
uint64_t bodyLength(std::string_view path) {
  constexpr uint64_t SmallBytes = 64;
  if (!path.starts_with(ArchivePrefix))
    return SmallBytes;
  std::string digits(path.substr(ArchivePrefix.size()));
  return std::max<uint64_t>(1, std::strtoull(digits.c_str(), nullptr, 10));
}

int begin(Job *job, lws *wsi, std::string_view path) {
  *job = Job{};
  job->Wsi = wsi;
  job->Status = HTTP_STATUS_OK;
  job->BodyBytes = bodyLength(path);
  job->Bodyless = lws_hdr_total_length(wsi, WSI_TOKEN_HEAD_URI) > 0;
  if (path.starts_with(ControlPrefix))
    return control(job, path);
  checkForbidden(wsi);
  if (path.find(CrashMark) != std::string_view::npos)
    std::_Exit(3);
  bool full = Running >= FLAGS_slots && Waiting.size() >= FLAGS_queue;
  if (full || CurrentFault == Fault::Shed)
    return shed(job);
  noteRun(wsi);
  if (CurrentFault == Fault::Error)
    job->Status = HTTP_STATUS_INTERNAL_SERVER_ERROR;
  std::array<char, 24> digits{};
  if (lws_hdr_copy(wsi, digits.data(), digits.size(),
                   WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0)
    job->ExpectedBytes = std::strtoull(digits.data(), nullptr, 10);
  job->Active = true;
  if (job->ExpectedBytes == 0)
    startJob(job);
  return 0;
}

int callback(lws *wsi, lws_callback_reasons reason, void *user, void *in,
             size_t len) {
  auto *job = static_cast<Job *>(user);
  switch (reason) {
  case LWS_CALLBACK_HTTP:
    return begin(job, wsi, {static_cast<const char *>(in), len});
  case LWS_CALLBACK_HTTP_BODY:
    job->ReceivedBytes += len;
    return 0;
  case LWS_CALLBACK_HTTP_BODY_COMPLETION:
    startJob(job);
    return 0;
  case LWS_CALLBACK_HTTP_WRITEABLE:
    return answer(job);
  case LWS_CALLBACK_CLOSED_HTTP:
    if (job)
      endJob(job);
    return 0;
  default:
    return lws_callback_http_dummy(wsi, reason, user, in, len);
  }
}

const lws_protocols Protocols[] = {
    {"http", &callback, sizeof(Job), 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  StartedAt = lws_now_usecs();
  lws_set_log_level(LLL_ERR, nullptr);
  lws_context_creation_info info{};
  info.port = static_cast<int>(FLAGS_port);
  info.iface = "127.0.0.1";
  info.protocols = Protocols;
  info.keepalive_timeout = 60;
  info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
  lws_context *context = lws_create_context(&info);
  if (!context)
    return 1;
  while (lws_service(context, 0) >= 0) {
  }
  lws_context_destroy(context);
  return 0;
}
