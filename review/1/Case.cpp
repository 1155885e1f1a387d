// Two owners in a row are cut off from the store. The second one takes note of
// an end that it can't store, and the third one starts the task again.

#include <atomic>
#include <thread>

#include "../standins/Deployment.h"

using namespace review;

namespace {

/// Length of each cut, the longest that the site names.
constexpr Ms kCut{ 5500 };

} // namespace

int
main(int aCount, char** aArguments)
{
  Deployment deployment(aCount, aArguments, 8, 12, true);
  Record& notes = deployment.Notes();
  Store& store = deployment.PlatformStore();
  std::atomic<int> owner{ -1 }; ///< The node that has claimed last.
  std::atomic<int> first{ -1 }; ///< The owners that are cut off.
  std::atomic<int> cuts{ 0 };
  const auto cut = [&](int aNode) {
    notes.Write("node " + std::to_string(aNode) +
                " (from 0) is cut off from the store");
    store.SetCut(static_cast<std::size_t>(aNode), true);
    ++cuts;
    std::thread([&notes, &store, aNode] {
      Wait(kCut);
      store.SetCut(static_cast<std::size_t>(aNode), false);
      notes.Write("the cut of node " + std::to_string(aNode) + " has ended");
    }).detach();
  };
  store.SetFaults(
    [&](std::size_t aNode, const Request& aRequest, const std::string& aBody) {
      const int node = static_cast<int>(aNode);
      if (aBody.find("\"shard/0\"") != std::string::npos &&
          aBody.find("\"chain\"") != std::string::npos) {
        notes.Write("node " + std::to_string(node) + " claims the shard");
        owner = node;
      }
      // The second owner has read the accepted work and begins to serve.
      const auto table = aRequest.mQuery.find("table");
      if (cuts == 1 && node != first &&
          aRequest.mPath == "/savorypaddle/rows-feed" &&
          table != aRequest.mQuery.end() && table->second == "inbox-0") {
        cut(node);
      }
      return StoreFault{};
    });
  deployment.Begin();
  if (owner < 0) {
    deployment.Exit(2, "no node has claimed the shard");
  }
  first = owner.load();
  const std::string id = "00000000000000f1";
  const std::string common = "\"count\":1,\"cpu\":1000,\"mem_mb\":256,";
  const std::string body =
    "{\"spec\":\"work0=1000 work1=2800 end=done\",\"steps\":[{" + common +
    "\"estimate_ms\":1000,\"requires\":\"b\"},{" + common +
    "\"estimate_ms\":2800,\"after\":[0],\"requires\":\"a\"}]}";
  const std::size_t client = first == 0 ? 1 : 0;
  if (!deployment.Submit(client, id, body)) {
    deployment.Exit(2, "the submission was not accepted");
  }
  const std::int64_t from = notes.NowMs();
  constexpr std::int64_t kLongestMs = 20000;
  while (deployment.AllRuns().Of(id).empty()) {
    if (notes.NowMs() - from > kLongestMs) {
      deployment.Exit(2, "the task was not started");
    }
    Wait(Ms(5));
  }
  if (deployment.Trouble()) {
    Wait(Ms(300));
    cut(first);
    Wait(Ms(8000));
    if (cuts != 2) {
      deployment.Exit(2, "no second owner was cut off");
    }
  }
  Wait(Ms(12000));
  deployment.Client(client, "GET", Deployment::kPrefix + id);
  const std::vector<Run> runs = deployment.AllRuns().Of(id);
  for (const Run& run : runs) {
    for (const Run& later : runs) {
      if (run.mHow == "done" && run.mNotedMs >= 0 && later.mTask == run.mTask &&
          later.mBeganMs > run.mEndedMs) {
        notes.Write("TWICE: " + run.mTask + " run " +
                    std::to_string(run.mNumber) + " on " + run.mRunner +
                    " ended done, which was taken note of, and run " +
                    std::to_string(later.mNumber) + " on " + later.mRunner +
                    " was started later");
        deployment.Exit(1, "TWICE: a task that was done was started again");
      }
    }
  }
  deployment.Exit(0, "no task was started again after it was done");
}
