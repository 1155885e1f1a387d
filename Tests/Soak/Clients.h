#pragma once

#include <cstdint>
#include <mutex>
#include <vector>

#include "Dice.h"
#include "Jobs.h"
#include "NodeProcess.h"
#include "Record.h"
#include "Timers.h"

namespace paddle::soak {

/// The clients: they submit jobs, some of them twice, cancel some, and ask for
/// the states of all until they have ended.
class Clients
{
public:
  Clients(std::vector<Job> aJobs,
          NodeProcesses& aNodes,
          Record& aRecord,
          Dice& aDice);

  void Begin();
  /// Ends all calls.
  /// @return the jobs, with what was seen of them
  std::vector<Job> End();

private:
  void Submit(std::size_t aJob, int aAttempt);
  void Resubmit(std::size_t aJob);
  void Cancel(std::size_t aJob, int aAttempt);
  void AskState(std::size_t aJob);
  /// Calls a node, rather one without trouble.
  int Call(const char* aMethod,
           const Job& aJob,
           const std::string& aBody,
           std::int64_t aTimeoutMs,
           std::string* aAnswer = nullptr);

  NodeProcesses& mNodes;
  Record& mRecord;
  Dice& mDice;
  std::mutex mMutex; ///< Protects what was seen of the jobs.
  std::vector<Job> mJobs;
  Timers mTimers;
};

} // namespace paddle::soak
