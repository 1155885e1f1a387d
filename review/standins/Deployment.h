#pragma once

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

#include "Runner.h"
#include "Store.h"

namespace review {

/// A small deployment: the project's nodes as separate processes, and stand-ins
/// for the platform's store, the runners and the clients in this one.
///
/// Usage of a case's program: CASE PROGRAM RECORD FOLDER
///   PROGRAM  the command of the deploy file
///   RECORD   the file to write
///   FOLDER   a temporary folder for settings and logs
class Deployment
{
public:
  Deployment(int aCount,
             char** aArguments,
             std::size_t aNodes,
             std::size_t aRunners,
             bool aLastRunnerFar = false);

  /// Starts everything and waits until all nodes are ready.
  void Begin();
  /// Ends all processes and this one.
  /// @param aStatus 0: the rule held, 1: it was broken, 2: it couldn't run
  [[noreturn]] void Exit(int aStatus, const std::string& aVerdict);

  /// @return whether the case has its disruption (TROUBLE is not 0)
  [[nodiscard]] bool Trouble() const { return mTrouble; }
  void StartNode(std::size_t aNode);
  void Signal(std::size_t aNode, int aSignal);

  /// Sends a client's request, and records it and its answer.
  Response Client(std::size_t aNode,
                  const std::string& aMethod,
                  const std::string& aTarget,
                  const std::string& aBody = {},
                  Ms aTimeout = Ms(3000));
  /// Submits until it is accepted, at most a few times.
  bool Submit(std::size_t aNode,
              const std::string& aId,
              const std::string& aBody);
  /// Writes a configuration with one service and a route for the queue, if
  /// wanted; the store's answer is its ack.
  void Configure(int aVersion, bool aWithRoute);

  Store& PlatformStore() { return *mStore; }
  Runner& RunnerAt(std::size_t aIndex) { return *mRunners.at(aIndex); }
  Runs& AllRuns() { return mRuns; }
  Record& Notes() { return *mRecord; }
  /// @return the address of a node for clients
  [[nodiscard]] const std::string& ClientAddress(std::size_t aNode) const
  {
    return mNodes.at(aNode).mClients;
  }
  [[nodiscard]] std::size_t Nodes() const { return mNodes.size(); }

  static constexpr const char* kHost = "jobs.example";
  static constexpr const char* kPrefix = "/jobs/";
  static constexpr int kMaxAttempts = 2;

private:
  struct Node
  {
    std::string mName;
    std::string mClients;
    std::string mReady;
    std::string mControl;
    pid_t mProcess = -1;
  };

  bool mTrouble = true;
  std::string mProgram;
  std::string mFolder;
  std::unique_ptr<Record> mRecord;
  std::unique_ptr<Store> mStore;
  Runs mRuns;
  std::vector<std::unique_ptr<Runner>> mRunners;
  std::vector<Node> mNodes;
};

void
Wait(Ms aTime);

} // namespace review
