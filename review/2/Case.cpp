// The outcome of a submission is unknown, since the store's answers are lost;
// the client cancels it, and it runs nevertheless.

#include <mutex>

#include "../standins/Deployment.h"

using namespace review;

int
main(int aCount, char** aArguments)
{
  Deployment deployment(aCount, aArguments, 8, 12);
  Record& notes = deployment.Notes();
  deployment.Begin();
  const std::string steps = "\"steps\":[{\"count\":2,\"cpu\":1000,"
                            "\"mem_mb\":256,\"estimate_ms\":400,"
                            "\"long_running\":true}]}";
  const std::string lasting = "{\"spec\":\"lasting\"," + steps;
  const std::string first = "00000000000000a1";
  const std::string second = "00000000000000b2";
  // An ordinary submission and its cancelling, so that the path is known to
  // work.
  if (!deployment.Submit(0, first, lasting)) {
    deployment.Exit(2, "the first submission was not accepted");
  }
  Wait(Ms(2000));
  if (deployment.AllRuns().Of(first).size() != 2) {
    deployment.Exit(2, "the first submission does not run");
  }
  deployment.Client(1, "DELETE", Deployment::kPrefix + first);
  Wait(Ms(4000));

  // The disruption: writes are done 5 s later and not answered, of one machine
  // and only those that hold this submission.
  constexpr Ms kLate{ 5000 };
  std::mutex mutex;
  std::size_t lost = 0;
  const std::size_t before = deployment.PlatformStore().Transactions();
  if (deployment.Trouble()) {
    deployment.PlatformStore().SetFaults(
      [&](std::size_t aNode, const Request&, const std::string& aBody) {
        StoreFault fault;
        if (aNode == 0 &&
            aBody.find("accepted/" + second) != std::string::npos) {
          const std::lock_guard lock(mutex);
          ++lost;
          fault.mAnswered = false;
          fault.mAppliedAfter = kLate;
          notes.Write("the store does a write of front-cartago-1 5 s later "
                      "and does not answer it");
        }
        return fault;
      });
  }
  const Response submitted = deployment.Client(
    0, "POST", Deployment::kPrefix + second, lasting, Ms(3000));
  deployment.PlatformStore().SetFaults({});
  const std::int64_t calmFrom = notes.NowMs() + kLate.count();
  notes.Write(
    "writes since the client's request: " +
    std::to_string(deployment.PlatformStore().Transactions() - before) +
    ", lost: " + std::to_string(lost));

  // The client does not know the outcome, and cancels.
  Response cancelled;
  for (int i = 0; i < 5; ++i) {
    cancelled = deployment.Client(1, "DELETE", Deployment::kPrefix + second);
    if (cancelled.mStatus == 410 || cancelled.mStatus / 100 == 2) {
      break;
    }
    Wait(Ms(500));
  }
  if (cancelled.mStatus != 410 && cancelled.mStatus / 100 != 2) {
    deployment.Exit(2, "the cancelling was not acknowledged");
  }
  const std::int64_t acknowledged = notes.NowMs();
  if (!deployment.Trouble() && submitted.mStatus != 200) {
    deployment.Exit(2, "the submission was not accepted without a disruption");
  }

  // In touch again contact_ms (4 s) after the last write was done; from then on
  // cancel_ms + stop_timeout_ms (3.2 s) without any disturbance.
  constexpr std::int64_t kContactMs = 4000;
  constexpr std::int64_t kCancelMs = 3000;
  constexpr std::int64_t kStopMs = 200;
  const std::int64_t gone =
    std::max(acknowledged, calmFrom + kContactMs) + kCancelMs + kStopMs;
  constexpr std::int64_t kWatchMs = 6000;
  while (notes.NowMs() < gone + kWatchMs) {
    Wait(Ms(50));
  }
  deployment.Client(2, "GET", Deployment::kPrefix + second);
  std::size_t broken = 0;
  for (const Run& run : deployment.AllRuns().Of(second)) {
    if (run.mEndedMs < 0 || run.mEndedMs > gone) {
      ++broken;
      notes.Write("UNASKED: " + run.mTask + " run " +
                  std::to_string(run.mNumber) + " on " + run.mRunner +
                  " started " + std::to_string(run.mBeganMs - acknowledged) +
                  " ms after the ack of the cancelling, and is at work " +
                  std::to_string(notes.NowMs() - acknowledged) +
                  " ms after it");
    }
  }
  deployment.Exit(broken > 0 ? 1 : 0,
                  broken > 0 ? "UNASKED: tasks of a cancelled submission run on"
                             : "no task of the cancelled submission runs on");
}
