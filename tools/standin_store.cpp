/// \file
/// Stand-in for the platform's key-value service: compare-and-swap, leases,
/// watches, the lagging list of VMs, and faults that are switched while it
/// runs. Everything is kept in memory.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <gflags/gflags.h>
#include <libwebsockets.h>
#include <map>
#include <set>
#include <string>
#include <string_view>

DEFINE_uint32(port, 9900, "TCP port on 127.0.0.1");
DEFINE_string(token, "", "bearer token that requests need, if set");
DEFINE_uint32(slow_ms, 1500, "delay of each answer while the fault is slow");
DEFINE_uint32(list_lag_ms, 5000, "age of the list of VMs that is given out");

namespace {

using Clock = std::chrono::steady_clock;

constexpr size_t MaxValueBytes = 1024 * 1024;
constexpr size_t HeadBytes = 1024;
constexpr size_t WriteChunkBytes = 16 * 1024;
/// Old values of a key that reads from the past choose from.
constexpr size_t HistoryLength = 16;
constexpr uint32_t MaxWaitMs = 60000;
constexpr uint32_t BadRequestStatus = 400;
constexpr uint32_t UnauthorizedStatus = 401;
constexpr uint32_t NotFoundStatus = 404;
constexpr uint32_t ConflictStatus = 409;
constexpr uint32_t TooLargeStatus = 413;
constexpr uint32_t OkStatus = 200;
constexpr uint32_t UnchangedStatus = 304;

/// How the stand-in misbehaves.
enum class Fault : uint8_t { None, Away, Slow, LoseReplies, Past };

struct FaultRow {
  std::string_view Name;
  Fault Kind;
};

constexpr auto FaultRows = std::to_array<FaultRow>({
    {"none", Fault::None},
    {"away", Fault::Away},
    {"slow", Fault::Slow},
    {"lose-replies", Fault::LoseReplies},
    {"past", Fault::Past},
});

enum class Verb : uint8_t { Get, Put };

struct Entry {
  uint64_t Revision = 0;
  std::string Value;
};

struct Lease {
  std::string Owner;
  Clock::time_point Until;
};

struct VmList {
  Clock::time_point At;
  std::string Text;
};

/// One request, as long as its connection is open.
struct Job {
  lws_sorted_usec_list_t Timer{};
  lws *Wsi = nullptr;
  Verb Method = Verb::Get;
  std::string Path;
  std::string Body;
  std::string Answer;
  size_t Sent = 0;
  uint32_t Status = OkStatus;
  uint64_t Revision = 0;
  uint64_t After = 0;
  bool Waiting = false;
  bool HeadSent = false;
  bool Ready = false;
  bool Drop = false;
};

/// Calls so far, by kind.
struct Counts {
  uint64_t Reads = 0;
  uint64_t Writes = 0;
  uint64_t Watches = 0;
  uint64_t Leases = 0;
  uint64_t Lists = 0;
};

Fault CurrentFault = Fault::None;
Counts Calls;
uint64_t LastRevision = 0;
std::map<std::string, std::deque<Entry>> Entries;
std::map<std::string, Lease> Leases;
std::deque<VmList> VmLists;
std::set<Job *> Jobs;

void becomeReady(Job *job) {
  job->Ready = true;
  job->Waiting = false;
  lws_callback_on_writable(job->Wsi);
}

void finishTimer(lws_sorted_usec_list_t *timer) {
  Job *job = lws_container_of(timer, Job, Timer);
  if (job->Waiting)
    job->Status = UnchangedStatus;
  becomeReady(job);
}

void readyAfter(Job *job, uint32_t millis) {
  lws_sul_schedule(lws_get_context(job->Wsi), 0, &job->Timer, &finishTimer,
                   static_cast<lws_usec_t>(millis) * LWS_US_PER_MS);
}

/// Sends the answer now, or late while the store is slow.
void answer(Job *job) {
  if (CurrentFault == Fault::Slow)
    readyAfter(job, FLAGS_slow_ms);
  else
    becomeReady(job);
}

uint64_t argument(lws *wsi, const char *name, uint64_t fallback) {
  std::array<char, 64> buf{};
  const char *value = lws_get_urlarg_by_name(wsi, name, buf.data(),
                                             static_cast<int>(buf.size()));
  return value ? std::strtoull(value, nullptr, 10) : fallback;
}

std::string textArgument(lws *wsi, const char *name) {
  std::array<char, 256> buf{};
  const char *value = lws_get_urlarg_by_name(wsi, name, buf.data(),
                                             static_cast<int>(buf.size()));
  return value ? value : "";
}

void fill(Job *job, const Entry &entry) {
  job->Status = OkStatus;
  job->Revision = entry.Revision;
  job->Answer = entry.Value;
}

void wakeWatches(const std::string &path) {
  const Entry &entry = Entries[path].back();
  for (Job *job : Jobs) {
    bool due = job->Waiting && job->Path == path && entry.Revision > job->After;
    if (!due)
      continue;
    lws_sul_cancel(&job->Timer);
    fill(job, entry);
    becomeReady(job);
  }
}

void watch(Job *job) {
  ++Calls.Watches;
  job->After = argument(job->Wsi, "after=", 0);
  auto wait = static_cast<uint32_t>(
      std::min<uint64_t>(argument(job->Wsi, "wait_ms=", MaxWaitMs), MaxWaitMs));
  auto it = Entries.find(job->Path);
  if (it != Entries.end() && it->second.back().Revision > job->After) {
    fill(job, it->second.back());
    return answer(job);
  }
  job->Waiting = true;
  readyAfter(job, wait);
}

void readKey(Job *job) {
  if (lws_get_urlarg_by_name(job->Wsi, "after=", std::array<char, 64>{}.data(),
                             64))
    return watch(job);
  ++Calls.Reads;
  auto it = Entries.find(job->Path);
  if (it == Entries.end()) {
    job->Status = NotFoundStatus;
    return answer(job);
  }
  const auto &history = it->second;
  fill(job, CurrentFault == Fault::Past ? history.front() : history.back());
  answer(job);
}

void writeKey(Job *job) {
  ++Calls.Writes;
  auto it = Entries.find(job->Path);
  uint64_t revision = it == Entries.end() ? 0 : it->second.back().Revision;
  job->Revision = revision;
  if (revision != argument(job->Wsi, "expected=", 0)) {
    job->Status = ConflictStatus;
    return answer(job);
  }
  auto &history = Entries[job->Path];
  history.push_back({++LastRevision, std::move(job->Body)});
  if (history.size() > HistoryLength)
    history.pop_front();
  job->Revision = LastRevision;
  wakeWatches(job->Path);
  job->Drop = CurrentFault == Fault::LoseReplies;
  answer(job);
}

/// Takes or renews a lease for `owner=` during `ttl_ms=`.
void writeLease(Job *job) {
  ++Calls.Leases;
  std::string owner = textArgument(job->Wsi, "owner=");
  Lease &lease = Leases[job->Path];
  Clock::time_point now = Clock::now();
  if (lease.Owner != owner && lease.Until > now) {
    job->Status = ConflictStatus;
    job->Answer = lease.Owner;
    return answer(job);
  }
  lease.Owner = owner;
  lease.Until =
      now + std::chrono::milliseconds(argument(job->Wsi, "ttl_ms=", 0));
  job->Drop = CurrentFault == Fault::LoseReplies;
  answer(job);
}

void readLease(Job *job) {
  ++Calls.Leases;
  auto it = Leases.find(job->Path);
  if (it == Leases.end() || it->second.Until <= Clock::now())
    job->Status = NotFoundStatus;
  else
    job->Answer = it->second.Owner;
  answer(job);
}

void readList(Job *job) {
  ++Calls.Lists;
  Clock::time_point limit =
      Clock::now() - std::chrono::milliseconds(FLAGS_list_lag_ms);
  job->Status = NotFoundStatus;
  for (const VmList &it : VmLists) {
    if (it.At > limit)
      break;
    job->Status = OkStatus;
    job->Answer = it.Text;
  }
  answer(job);
}

void writeList(Job *job) {
  VmLists.push_back({Clock::now(), std::move(job->Body)});
  answer(job);
}

void setFault(Job *job) {
  std::string_view name = job->Path;
  name.remove_prefix(name.rfind('/') + 1);
  for (const FaultRow &row : FaultRows)
    if (row.Name == name)
      CurrentFault = row.Kind;
  becomeReady(job);
}

void readCounts(Job *job) {
  auto waiting = std::count_if(Jobs.begin(), Jobs.end(),
                               [](const Job *it) { return it->Waiting; });
  job->Answer = "{\"reads\":" + std::to_string(Calls.Reads) +
                ",\"writes\":" + std::to_string(Calls.Writes) +
                ",\"watches\":" + std::to_string(Calls.Watches) +
                ",\"leases\":" + std::to_string(Calls.Leases) +
                ",\"lists\":" + std::to_string(Calls.Lists) +
                ",\"waiting\":" + std::to_string(waiting) + "}\n";
  becomeReady(job);
}

/// What is served below a prefix.
struct RouteRow {
  std::string_view Prefix;
  Verb Method;
  void (*Serve)(Job *job);
  /// Control routes answer whatever the fault.
  bool Control;
};

constexpr auto Routes = std::to_array<RouteRow>({
    {"/kv/", Verb::Get, &readKey, false},
    {"/kv/", Verb::Put, &writeKey, false},
    {"/lease/", Verb::Get, &readLease, false},
    {"/lease/", Verb::Put, &writeLease, false},
    {"/vms", Verb::Get, &readList, false},
    {"/-/vms", Verb::Put, &writeList, true},
    {"/-/fault/", Verb::Get, &setFault, true},
    {"/-/calls", Verb::Get, &readCounts, true},
});

bool authorized(lws *wsi) {
  if (FLAGS_token.empty())
    return true;
  std::array<char, 256> buf{};
  int n = lws_hdr_copy(wsi, buf.data(), static_cast<int>(buf.size()),
                       WSI_TOKEN_HTTP_AUTHORIZATION);
  return n > 0 && std::string_view(buf.data()) == "Bearer " + FLAGS_token;
}

/// Serves a whole request. \returns -1 to close the connection.
int serve(Job *job) {
  for (const RouteRow &row : Routes) {
    if (row.Method != job->Method || !job->Path.starts_with(row.Prefix))
      continue;
    if (CurrentFault == Fault::Away && !row.Control)
      return -1;
    row.Serve(job);
    return 0;
  }
  job->Status = BadRequestStatus;
  becomeReady(job);
  return 0;
}

int begin(Job *job, std::string_view path) {
  job->Path = path;
  job->Method = lws_hdr_total_length(job->Wsi, WSI_TOKEN_PUT_URI) > 0
                    ? Verb::Put
                    : Verb::Get;
  if (!authorized(job->Wsi)) {
    job->Status = UnauthorizedStatus;
    becomeReady(job);
    return 0;
  }
  return job->Method == Verb::Get ? serve(job) : 0;
}

int receive(Job *job, std::string_view part) {
  if (job->Body.size() + part.size() > MaxValueBytes)
    job->Status = TooLargeStatus;
  else
    job->Body.append(part);
  return 0;
}

int received(Job *job) {
  if (job->Status == OkStatus)
    return serve(job);
  if (!job->Ready)
    becomeReady(job);
  return 0;
}

bool sendHead(Job *job) {
  std::array<unsigned char, LWS_PRE + HeadBytes> buf;
  unsigned char *start = buf.data() + LWS_PRE;
  unsigned char *at = start;
  unsigned char *end = buf.data() + buf.size();
  std::string revision = std::to_string(job->Revision);
  job->HeadSent = true;
  return !lws_add_http_header_status(job->Wsi, job->Status, &at, end) &&
         !lws_add_http_header_by_name(
             job->Wsi, reinterpret_cast<const unsigned char *>("x-revision:"),
             reinterpret_cast<const unsigned char *>(revision.data()),
             static_cast<int>(revision.size()), &at, end) &&
         !lws_add_http_header_content_length(job->Wsi, job->Answer.size(), &at,
                                             end) &&
         !lws_finalize_write_http_header(job->Wsi, start, &at, end);
}

int send(Job *job) {
  if (!job->Ready)
    return 0;
  bool away = CurrentFault == Fault::Away && !job->Path.starts_with("/-/");
  if (job->Drop || away)
    return -1;
  if (!job->HeadSent && !sendHead(job))
    return -1;
  size_t n = std::min(WriteChunkBytes, job->Answer.size() - job->Sent);
  if (n > 0) {
    std::array<unsigned char, LWS_PRE + WriteChunkBytes> buf;
    std::copy_n(job->Answer.data() + job->Sent, n, buf.data() + LWS_PRE);
    job->Sent += n;
    bool last = job->Sent == job->Answer.size();
    if (lws_write(job->Wsi, buf.data() + LWS_PRE, n,
                  last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0)
      return -1;
    if (!last) {
      lws_callback_on_writable(job->Wsi);
      return 0;
    }
  }
  return lws_http_transaction_completed(job->Wsi) ? -1 : 0;
}

/// What the HTTP library keeps for a connection.
struct Session {
  Job *Current;
};

void endJob(Session &session) {
  if (!session.Current)
    return;
  lws_sul_cancel(&session.Current->Timer);
  Jobs.erase(session.Current);
  delete session.Current;
  session.Current = nullptr;
}

int callback(lws *wsi, lws_callback_reasons reason, void *user, void *in,
             size_t len) {
  auto *session = static_cast<Session *>(user);
  if (!session)
    return lws_callback_http_dummy(wsi, reason, user, in, len);
  Job *job = session->Current;
  std::string_view text(static_cast<const char *>(in), in ? len : 0);
  switch (reason) {
  case LWS_CALLBACK_HTTP:
    endJob(*session);
    job = new Job;
    job->Wsi = wsi;
    session->Current = job;
    Jobs.insert(job);
    return begin(job, text);
  case LWS_CALLBACK_HTTP_BODY:
    return job ? receive(job, text) : -1;
  case LWS_CALLBACK_HTTP_BODY_COMPLETION:
    return job ? received(job) : -1;
  case LWS_CALLBACK_HTTP_WRITEABLE:
    return job ? send(job) : 0;
  case LWS_CALLBACK_CLOSED_HTTP:
    endJob(*session);
    return 0;
  default:
    return lws_callback_http_dummy(wsi, reason, user, in, len);
  }
}

const lws_protocols Protocols[] = {
    {"http", &callback, sizeof(Session), 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
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
