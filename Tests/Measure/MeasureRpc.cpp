// Measures the processor time that one JSON-RPC call takes at the client and at
// the server, by the number of task entries in its answer. A worker report is
// such a call.

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>
#include <memory>
#include <string>

#include <LibBase/JsonReader.h>
#include <LibRpc/RpcClient.h>
#include <LibRpc/RpcServer.h>

using namespace paddle;

namespace {

constexpr std::uint16_t kPort = 17321;
constexpr int kWarmUpCalls = 300;
constexpr int kMeasuredCalls = 3000;
constexpr int kEntryCounts[] = { 0, 10, 27, 50, 100, 200 };

double
CpuMicros(clockid_t aClock)
{
  timespec time{};
  clock_gettime(aClock, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

Json::Value
MakeReport(int aEntries)
{
  Json::Value report(Json::objectValue);
  report["token"] = 123456789;
  Json::Value& running = report["running"];
  running = Json::Value(Json::arrayValue);
  for (int i = 0; i < aEntries; ++i) {
    Json::Value entry(Json::objectValue);
    entry["job"] = "team-042/2026-12-04/batch-" + std::to_string(100000 + i);
    entry["attempt"] = 1;
    entry["cores"] = 1.25;
    entry["memoryMb"] = 3072;
    running.append(entry);
  }
  return report;
}

int
Measure(HttpClient& aClient, int aEntries)
{
  Json::Value parameters(Json::objectValue);
  parameters["entries"] = aEntries;
  const auto call = [&] {
    return Succeeded(CallRpc(
      aClient, { "127.0.0.1", kPort }, "report", parameters, Millis(5000)));
  };
  for (int i = 0; i < kWarmUpCalls; ++i) {
    if (!call()) {
      return 1;
    }
  }
  const double client = CpuMicros(CLOCK_THREAD_CPUTIME_ID);
  const double process = CpuMicros(CLOCK_PROCESS_CPUTIME_ID);
  for (int i = 0; i < kMeasuredCalls; ++i) {
    if (!call()) {
      return 1;
    }
  }
  const double clientUsed =
    (CpuMicros(CLOCK_THREAD_CPUTIME_ID) - client) / kMeasuredCalls;
  const double processUsed =
    (CpuMicros(CLOCK_PROCESS_CPUTIME_ID) - process) / kMeasuredCalls;
  std::printf("entries=%d answer_bytes=%zu client_cpu_us=%.1f "
              "server_cpu_us=%.1f\n",
              aEntries,
              WriteJson(MakeReport(aEntries)).size(),
              clientUsed,
              processUsed - clientUsed);
  return 0;
}

} // namespace

int
main()
{
  std::map<int, Json::Value> reports;
  for (const int entries : kEntryCounts) {
    reports[entries] = MakeReport(entries);
  }
  RpcMethods methods;
  methods["report"] = [&](const Json::Value& aIn) -> Outcome<Json::Value> {
    return reports.at(aIn["entries"].asInt());
  };
  auto server = HttpServer::Start({ { { "127.0.0.1", kPort } }, 5 },
                                  MakeRpcHandler(methods));
  if (!Succeeded(server)) {
    std::fprintf(stderr, "%s\n", ErrorOf(server).mMessage.c_str());
    return EXIT_FAILURE;
  }
  HttpClient client({});
  for (const int entries : kEntryCounts) {
    if (Measure(client, entries) != 0) {
      std::fprintf(stderr, "a call failed at entries=%d\n", entries);
      return EXIT_FAILURE;
    }
  }
  return EXIT_SUCCESS;
}
