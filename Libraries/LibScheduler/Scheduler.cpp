#include <LibScheduler/Scheduler.h>

#include <algorithm>

#include <LibDocument/JobDocument.h>
#include <LibRpc/RpcClient.h>
#include <LibScheduler/JobRows.h>

namespace paddle {

namespace {

/// Events that may wait for the placement thread. The ring holds several
/// seconds of events at the peak load of the largest planned deployment.
constexpr std::size_t kEventRingCapacity = 20000;

/// How long an RPC thread waits for the reply of the placement thread, which
/// may be due only after a commit. It is below the time-out of ordinary
/// clients, so that they receive an answer.
constexpr Millis kReplyTimeout{ 4000 };

/// Time-out of a call that is forwarded to the owner of a shard. It is above
/// kReplyTimeout, so that the answer arrives also when the owner's wait for a
/// reply timed out.
constexpr Millis kForwardTimeout{ 4500 };

/// The most shards that are tried for one submit.
constexpr std::size_t kMaxCandidateShards = 3;

/// @return the result of scheduler.status for a job that is done
Json::Value
StatusFromIdRow(const std::string& aJob, const JobIdRow& aRow)
{
  Json::Value status(Json::objectValue);
  status["job"] = aJob;
  status["shard"] = aRow.mShard;
  status["state"] = aRow.mState;
  status["reason"] = aRow.mReason;
  status["explanation"] =
    aRow.mReason.empty() ? aRow.mState : aRow.mState + ": " + aRow.mReason;
  return status;
}

Error
NoSuchJob(const std::string& aJob)
{
  return { ErrorKind::NotFound, "no job is named \"" + aJob + "\"" };
}

} // namespace

Scheduler::Scheduler(const SchedulerPorts& aPorts,
                     PlacementPolicy aPolicy,
                     const LinkSettings& aLinks)
  : mPorts(aPorts)
  , mEvents(kEventRingCapacity)
  , mCommitter(aPorts, mEvents)
  , mLinks(aPorts, aLinks, mEvents)
  , mPlacement(aPorts, std::move(aPolicy), mEvents, mCommitter, mLinks)
  , mDirectory(aPorts, mEvents, [this] { return mPlacement.Summary(); })
{
}

Scheduler::~Scheduler()
{
  Stop();
}

void
Scheduler::Stop()
{
  mDirectory.Stop();
  mLinks.Stop();
  mPlacement.Stop();
  mCommitter.Stop();
}

void
Scheduler::BeginLeave()
{
  mLeaving = true;
}

bool
Scheduler::Quiescent() const
{
  return mLinks.Quiescent() && mCommitter.Idle();
}

RpcMethods
Scheduler::Methods()
{
  RpcMethods methods;
  methods["scheduler.submit"] = [this](const Json::Value& aParameters) {
    return Submit(aParameters);
  };
  methods["scheduler.cancel"] = [this](const Json::Value& aParameters) {
    return HandleJobRequest(
      JobRequest::Cancel, "scheduler.cancel", aParameters);
  };
  methods["scheduler.status"] = [this](const Json::Value& aParameters) {
    return HandleJobRequest(
      JobRequest::Status, "scheduler.status", aParameters);
  };
  methods["scheduler.explain"] = [this](const Json::Value& aParameters) {
    return HandleJobRequest(
      JobRequest::Explain, "scheduler.explain", aParameters);
  };
  methods["scheduler.summary"] =
    [this](const Json::Value&) -> Outcome<Json::Value> {
    return mPlacement.Summary();
  };
  return methods;
}

HttpReply
Scheduler::Page(const HttpRequest& aRequest) const
{
  const HttpHeaders text = { { "Content-Type", "text/plain" } };
  if (aRequest.mPath == "/savorypaddle/health") {
    return mLeaving ? HttpReply{ 503, text, "leaving\n" }
                    : HttpReply{ 200, text, "ok\n" };
  }
  if (aRequest.mPath == "/savorypaddle/metrics") {
    return { 200, text, mPorts.mMetrics->Page() };
  }
  return { 404, text, "no such path\n" };
}

bool
Scheduler::Owns(const std::string& aShard) const
{
  return mPorts.mLease.mOwns(aShard).has_value();
}

Outcome<Json::Value>
Scheduler::Await(SchedulerEvent aEvent, const ReplyPromise& aReply)
{
  auto answer = aReply->get_future();
  if (mEvents.TryPush(std::move(aEvent)) != PushResult::Accepted) {
    return Error{ ErrorKind::Unavailable, "the scheduler is overloaded" };
  }
  if (answer.wait_for(kReplyTimeout) != std::future_status::ready) {
    return Error{ ErrorKind::Unknown,
                  "the table service did not confirm in time; repeat the call "
                  "with the same job id" };
  }
  return answer.get();
}

Outcome<Json::Value>
Scheduler::Submit(const Json::Value& aParameters)
{
  if (mLeaving) {
    return Error{ ErrorKind::Unavailable, "this scheduler is leaving" };
  }
  const auto document = ParseJobDocument("job", aParameters["text"].asString());
  if (!Succeeded(document)) {
    return ErrorOf(document);
  }
  const JobSpec spec = ToJobSpec(ValueOf(document));
  if (aParameters.isMember("shard")) {
    return SubmitTo(aParameters["shard"].asString(), spec, aParameters);
  }
  if (const auto why = mDirectory.WhyJobUnplaceable(spec)) {
    mPorts.mMetrics->Count("jobs_refused");
    return Error{ ErrorKind::InvalidInput, *why };
  }
  Outcome<Json::Value> answer =
    Error{ ErrorKind::Unavailable, "no shard has a live owner now" };
  const auto candidates = mDirectory.CandidateShards(spec);
  for (std::size_t i = 0; i < candidates.size() && i < kMaxCandidateShards;
       ++i) {
    answer = SubmitTo(candidates[i], spec, aParameters);
    const bool tryNext =
      !Succeeded(answer) && ErrorOf(answer).mKind == ErrorKind::Unavailable;
    if (!tryNext) {
      break;
    }
  }
  return answer;
}

Outcome<Json::Value>
Scheduler::SubmitTo(const std::string& aShard,
                    const JobSpec& aSpec,
                    const Json::Value& aParameters)
{
  if (!Owns(aShard)) {
    Json::Value parameters = aParameters;
    parameters["shard"] = aShard;
    return Forward(aShard, "scheduler.submit", std::move(parameters));
  }
  const ReplyPromise reply =
    std::make_shared<std::promise<Outcome<Json::Value>>>();
  Outcome<Json::Value> answer =
    Await(SubmitEvent{ aShard, aSpec, reply }, reply);
  mPorts.mMetrics->Count(Succeeded(answer) ? "jobs_accepted"
                                           : "jobs_not_accepted");
  return answer;
}

Outcome<Json::Value>
Scheduler::Forward(const std::string& aShard,
                   const char* aMethod,
                   Json::Value aParameters)
{
  const auto owner = mPorts.mLease.mOwnerOf(aShard);
  if (aParameters["forwarded"].asBool() || !owner ||
      owner->mName == mPorts.mSelf.mName) {
    return Error{ ErrorKind::Unavailable,
                  "shard " + aShard + " has no owner that serves it now" };
  }
  aParameters["forwarded"] = true;
  return CallRpc(
    *mPorts.mClient, owner->mAddress, aMethod, aParameters, kForwardTimeout);
}

Outcome<Json::Value>
Scheduler::HandleJobRequest(JobRequest aRequest,
                            const char* aMethod,
                            const Json::Value& aParameters)
{
  const std::string job = aParameters["job"].asString();
  const std::string key = JobIdKey(job);
  const auto rows = mPorts.mTable.mRead(std::span(&key, 1));
  if (!Succeeded(rows)) {
    return ErrorOf(rows);
  }
  const TableRow& row = ValueOf(rows).at(0);
  if (row.mVersion == 0) {
    return NoSuchJob(job);
  }
  const auto parsed = ParseJobIdRow(row.mValue);
  if (!Succeeded(parsed)) {
    return ErrorOf(parsed);
  }
  const JobIdRow& id = ValueOf(parsed);
  if (id.mState != "accepted") {
    return StatusFromIdRow(job, id);
  }
  if (!Owns(id.mShard)) {
    return Forward(id.mShard, aMethod, aParameters);
  }
  const ReplyPromise reply =
    std::make_shared<std::promise<Outcome<Json::Value>>>();
  return Await(JobRequestEvent{ id.mShard, job, aRequest, reply }, reply);
}

} // namespace paddle
