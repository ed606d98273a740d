/// \file
/// Load caller: keeps a number of requests in progress, checks every answer
/// whole and prints figures as `name value unit` lines.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <libwebsockets.h>
#include <string>
#include <string_view>
#include <vector>

DEFINE_string(address, "127.0.0.1", "IP number to call");
DEFINE_uint32(port, 8080, "TCP port to call");
DEFINE_string(path, "/wind/cabo", "path to call");
DEFINE_string(method, "GET", "HTTP method");
DEFINE_string(key, "", "caller key");
DEFINE_string(label, "load", "prefix of the printed names");
DEFINE_uint32(concurrency, 8, "requests in progress, one a connection");
DEFINE_uint64(requests, 1000, "requests in total");
DEFINE_uint64(expect_bytes, 64, "body length of a good answer");
DEFINE_uint32(interval_us, 0, "least time between two starts on a connection");
DEFINE_uint32(max_seconds, 60, "stop after this time");
DEFINE_bool(number, false, "add a name of its own to each request (?n=NAME)");
DEFINE_string(outcomes, "", "file that gets a line NAME OUTCOME a request");
DEFINE_string(alpn, "http/1.1", "protocols to offer, such as h2");
DEFINE_string(idempotency_key, "", "Idempotency-Key of each request");
DEFINE_bool(tls, false, "call over TLS and accept any certificate");

namespace {

using Clock = std::chrono::steady_clock;

/// One caller connection with its request in progress.
struct Caller {
  lws_sorted_usec_list_t Timer{};
  uint32_t Index = 0;
  lws_vhost *Vhost = nullptr;
  Clock::time_point Started;
  uint64_t Bytes = 0;
  uint32_t Status = 0;
  bool BodyGood = true;
  bool Pending = false;
  /// Name of the request, and its path with the name.
  std::string Name;
  std::string Path;
  /// Body of a refusal.
  std::string Problem;
};

/// What the run counted.
struct Totals {
  uint64_t Started = 0;
  uint64_t Whole = 0;
  uint64_t Refused = 0;
  uint64_t Broken = 0;
  uint64_t Wrong = 0;
  std::vector<uint32_t> LatencyUs;
};

/// The member of the totals that an outcome counts in.
struct OutcomeRow {
  std::string_view Name;
  uint64_t Totals::*Member;
};

constexpr auto Outcomes = std::to_array<OutcomeRow>({
    {"whole", &Totals::Whole},
    {"refused", &Totals::Refused},
    {"not-run", &Totals::Refused},
    {"broken", &Totals::Broken},
    {"wrong", &Totals::Wrong},
});

lws_context *Context = nullptr;
std::ofstream OutcomeFile;
Totals Count;
uint64_t Ended = 0;

void startNext(Caller &caller);

void timerFired(lws_sorted_usec_list_t *timer) {
  startNext(*lws_container_of(timer, Caller, Timer));
}

void scheduleNext(Caller &caller) {
  lws_sul_schedule(Context, 0, &caller.Timer, &timerFired,
                   std::max<uint32_t>(FLAGS_interval_us, 1));
}

/// \returns how the request ended, in one word.
std::string_view outcome(const Caller &caller, bool whole) {
  if (!whole)
    return "broken";
  if (caller.Status == HTTP_STATUS_OK)
    return caller.Bytes == FLAGS_expect_bytes && caller.BodyGood ? "whole"
                                                                 : "wrong";
  bool notRun = caller.Problem.find("\"not-run\"") != std::string::npos;
  return notRun ? "not-run" : "refused";
}

void record(Caller &caller, bool whole) {
  if (!caller.Pending)
    return;
  caller.Pending = false;
  ++Ended;
  auto took = std::chrono::duration_cast<std::chrono::microseconds>(
      Clock::now() - caller.Started);
  std::string_view word = outcome(caller, whole);
  for (const OutcomeRow &row : Outcomes)
    if (row.Name == word)
      ++(Count.*row.Member);
  if (word == "whole")
    Count.LatencyUs.push_back(static_cast<uint32_t>(took.count()));
  if (OutcomeFile.is_open())
    OutcomeFile << caller.Name << " " << word << "\n";
  scheduleNext(caller);
}

void startNext(Caller &caller) {
  if (Count.Started >= FLAGS_requests)
    return;
  ++Count.Started;
  caller.Name = FLAGS_label + "-" + std::to_string(Count.Started);
  caller.Path = FLAGS_path;
  if (FLAGS_number)
    caller.Path += "?n=" + caller.Name;
  caller.Problem.clear();
  caller.Bytes = 0;
  caller.Status = 0;
  caller.BodyGood = true;
  caller.Pending = true;
  caller.Started = Clock::now();
  lws_client_connect_info info{};
  info.context = Context;
  info.address = FLAGS_address.c_str();
  info.port = static_cast<int>(FLAGS_port);
  info.path = caller.Path.c_str();
  info.host = info.address;
  info.method = FLAGS_method.c_str();
  info.alpn = FLAGS_alpn.c_str();
  info.protocol = "caller";
  info.local_protocol_name = "caller";
  info.vhost = caller.Vhost;
  info.keep_warm_secs = 30;
  info.ssl_connection = LCCSCF_PIPELINE;
  if (FLAGS_tls)
    info.ssl_connection |= LCCSCF_USE_SSL | LCCSCF_ALLOW_SELFSIGNED |
                           LCCSCF_SKIP_SERVER_CERT_HOSTNAME_CHECK;
  info.opaque_user_data = &caller;
  if (!lws_client_connect_via_info(&info))
    record(caller, false);
}

bool addField(lws *wsi, const char *name, const std::string &value,
              unsigned char **at, unsigned char *end) {
  return lws_add_http_header_by_name(
             wsi, reinterpret_cast<const unsigned char *>(name),
             reinterpret_cast<const unsigned char *>(value.data()),
             static_cast<int>(value.size()), at, end) == 0;
}

int appendHead(lws *wsi, void *in, size_t len) {
  auto **at = static_cast<unsigned char **>(in);
  unsigned char *end = *at + len;
  bool ok = FLAGS_key.empty() ||
            addField(wsi, "authorization:", "Bearer " + FLAGS_key, at, end);
  if (!FLAGS_idempotency_key.empty())
    ok =
        ok && addField(wsi, "idempotency-key:", FLAGS_idempotency_key, at, end);
  if (FLAGS_method == "POST")
    ok = ok && addField(wsi, "content-length:", "0", at, end);
  return ok ? 0 : -1;
}

void checkBytes(Caller &caller, std::string_view bytes) {
  if (caller.Status != HTTP_STATUS_OK) {
    caller.Problem += bytes;
    return;
  }
  for (char c : bytes)
    caller.BodyGood &= c == static_cast<char>('a' + caller.Bytes++ % 26);
}

int callback(lws *wsi, lws_callback_reasons reason, void *user, void *in,
             size_t len) {
  auto *caller =
      wsi ? static_cast<Caller *>(lws_get_opaque_user_data(wsi)) : nullptr;
  if (!caller)
    return lws_callback_http_dummy(wsi, reason, user, in, len);
  switch (reason) {
  case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
    return appendHead(wsi, in, len);
  case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
    caller->Status = lws_http_client_http_response(wsi);
    return 0;
  case LWS_CALLBACK_RECEIVE_CLIENT_HTTP: {
    std::array<char, LWS_PRE + 16384> buf;
    char *at = buf.data() + LWS_PRE;
    int n = 16384;
    return lws_http_client_read(wsi, &at, &n) < 0 ? -1 : 0;
  }
  case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
    checkBytes(*caller, {static_cast<const char *>(in), len});
    return 0;
  case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
    lws_set_opaque_user_data(wsi, nullptr);
    record(*caller, true);
    return 0;
  case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
  case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    lws_set_opaque_user_data(wsi, nullptr);
    record(*caller, false);
    return 0;
  default:
    return 0;
  }
}

const lws_protocols Protocols[] = {
    {"caller", &callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

uint32_t percentile(double share) {
  if (Count.LatencyUs.empty())
    return 0;
  auto n = static_cast<size_t>(share * (Count.LatencyUs.size() - 1));
  return Count.LatencyUs[n];
}

void print(std::string_view name, double value, std::string_view unit) {
  std::cout << FLAGS_label << "." << name << " " << value << " " << unit
            << "\n";
}

void report(double seconds) {
  std::sort(Count.LatencyUs.begin(), Count.LatencyUs.end());
  print("whole", static_cast<double>(Count.Whole), "requests");
  print("refused", static_cast<double>(Count.Refused), "requests");
  print("broken", static_cast<double>(Count.Broken), "requests");
  print("wrong", static_cast<double>(Count.Wrong), "requests");
  print("throughput", static_cast<double>(Ended) / seconds, "requests/s");
  print("p50", percentile(0.50), "us");
  print("p99", percentile(0.99), "us");
  print("p999", percentile(0.999), "us");
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  lws_set_log_level(0, nullptr);
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = Protocols;
  info.options =
      LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
  if (!FLAGS_outcomes.empty())
    OutcomeFile.open(FLAGS_outcomes);
  Context = lws_create_context(&info);
  if (!Context)
    return 1;
  std::vector<Caller> callers(FLAGS_concurrency);
  std::vector<std::string> names(FLAGS_concurrency);
  for (size_t n = 0; n < callers.size(); ++n) {
    const std::string &name = names[n] = "caller-" + std::to_string(n);
    info.vhost_name = name.c_str();
    callers[n].Vhost = lws_create_vhost(Context, &info);
    scheduleNext(callers[n]);
  }
  auto start = Clock::now();
  auto limit = std::chrono::seconds(FLAGS_max_seconds);
  while (Ended < FLAGS_requests && Clock::now() - start < limit)
    if (lws_service(Context, 0) < 0)
      break;
  std::chrono::duration<double> took = Clock::now() - start;
  report(took.count());
  for (Caller &caller : callers)
    lws_sul_cancel(&caller.Timer);
  lws_context_destroy(Context);
  return Count.Wrong == 0 ? 0 : 1;
}
