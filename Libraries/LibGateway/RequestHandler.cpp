#include <LibGateway/RequestHandler.h>

#include <algorithm>
#include <charconv>

#include <LibBase/Log.h>
#include <LibGateway/RunnerFollower.h>

namespace paddle {

namespace {

/// A peer gets this time beyond the deadline to report the outcome. Without it,
/// a request that the peer refused at its deadline would count as unknown.
constexpr Millis kPeerGraceMs{ 100 };

MonotonicTime
Now()
{
  return std::chrono::steady_clock::now();
}

/// @return the time from now until @p aEnd; 0 if it has passed
Millis
TimeLeftUntil(MonotonicTime aEnd)
{
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(aEnd - Now()));
}

/// @return the route with the longest prefix of the path, or null
const Route*
FindRoute(const ServiceDocument& aDocument, std::string_view aPath)
{
  const Route* best = nullptr;
  for (const Route& route : aDocument.mRoutes) {
    const bool longer = !best || route.mPrefix.size() > best->mPrefix.size();
    if (aPath.starts_with(route.mPrefix) && longer) {
      best = &route;
    }
  }
  return best;
}

/// @return the number that a text consists of, or nothing if it is none
std::optional<std::int64_t>
ParseNumber(std::string_view aText)
{
  std::int64_t number = 0;
  const auto [end, code] =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (code != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return number;
}

/// @return whether a peer forwarded the request, as its header says
Forwarded
ForwardedBy(const HttpRequest& aRequest)
{
  const std::string_view text = FindHeader(aRequest.mHeaders, kForwardedHeader);
  if (text == "key") {
    return Forwarded::ToKeyOwner;
  }
  return text == "overflow" ? Forwarded::ToFreeSlots : Forwarded::No;
}

/// @return the name of an outcome in headers and metrics
const char*
NameOf(RequestOutcome aOutcome)
{
  switch (aOutcome) {
    case RequestOutcome::Answered:
      return "answered";
    case RequestOutcome::Refused:
      return "refused";
    case RequestOutcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

/// Appends a header unless its value is empty.
void
SetHeader(HttpHeaders& aHeaders, const char* aName, std::string aValue)
{
  if (!aValue.empty()) {
    aHeaders.emplace_back(aName, std::move(aValue));
  }
}

} // namespace

RequestHandler::RequestHandler(const GatewaySettings& aSettings,
                               const GatewayPorts& aPorts,
                               HttpClient& aClient,
                               RoutingThread& aRouting,
                               IdempotencyKeyStore& aKeys,
                               WatchPool& aWatches,
                               RecordWriter& aRecords,
                               Metrics& aMetrics)
  : mSettings(aSettings)
  , mPorts(aPorts)
  , mClient(aClient)
  , mRouting(aRouting)
  , mKeys(aKeys)
  , mWatches(aWatches)
  , mRecords(aRecords)
  , mMetrics(aMetrics)
{
}

void
RequestHandler::RefuseRequests()
{
  mRefusing = true;
}

HttpReply
RequestHandler::Handle(const HttpRequest& aRequest)
{
  const MonotonicTime start = Now();
  CallerRequest request;
  const auto refusal = Parse(aRequest, request);
  HttpReply reply = Complete(request, refusal ? *refusal : Dispatch(request));
  mMetrics.Observe(request.mRoute.mKind == RouteKind::Watch ? "watch"
                                                            : "request",
                   std::chrono::duration_cast<Micros>(Now() - start));
  return reply;
}

/// Counts and records the outcome of a request, and adds the gateway's headers
/// to the reply.
HttpReply
RequestHandler::Complete(const CallerRequest& aRequest,
                         ReplyWithOutcome aResult)
{
  mMetrics.Count(std::string("outcome_") + NameOf(aResult.mOutcome));
  Record(aRequest, aResult);
  HttpReply& reply = aResult.mReply;
  reply.mHeaders = ForwardableHeaders(reply.mHeaders);
  reply.mHeaders.emplace_back(kRequestIdHeader, aRequest.mId);
  reply.mHeaders.emplace_back(kOutcomeHeader, NameOf(aResult.mOutcome));
  return std::move(reply);
}

/// Writes a decision record if the decision was made outside LibRouting.
void
RequestHandler::Record(const CallerRequest& aRequest,
                       const ReplyWithOutcome& aResult)
{
  if (aResult.mRule.empty()) {
    return;
  }
  RequestRecord record;
  record.mTime = std::chrono::system_clock::now();
  record.mRequest = std::make_shared<const Mailbox>(
    RequestLabel{ aRequest.mId, aRequest.mService, aRequest.mClientAccount });
  record.mExplanation.mKind = aResult.mOutcome == RequestOutcome::Refused
                                ? DecisionKind::Refuse
                                : DecisionKind::Serve;
  record.mNonRoutingRule = aResult.mRule;
  mRecords.Add(std::move(record));
}

/// Parses a request.
/// @param aOut receives the parsed request; its id is always set
/// @return the refusal if the request can't be served, otherwise nothing
std::optional<ReplyWithOutcome>
RequestHandler::Parse(const HttpRequest& aRequest, CallerRequest& aOut)
{
  aOut.mForwarded = ForwardedBy(aRequest);
  aOut.mId = FindHeader(aRequest.mHeaders, kRequestIdHeader);
  if (aOut.mForwarded == Forwarded::No || aOut.mId.empty()) {
    aOut.mId = mSettings.mSelf.mName + "-" + mSettings.mSelf.mIncarnation +
               "-" + std::to_string(++mLastNumber);
  }
  if (mRefusing) {
    return MakeRefusal(503, rule::kProcessLeaving, "this gateway is leaving");
  }
  const auto configuration = mPorts.mConfiguration();
  if (!configuration) {
    return MakeRefusal(
      503, "no-configuration", "no configuration has been read yet");
  }
  const std::string& path = aRequest.mPath;
  const std::size_t slash = std::min(path.find('/', 1), path.size());
  aOut.mPath = path;
  aOut.mService = path.substr(std::min<std::size_t>(1, path.size()),
                              slash - std::min<std::size_t>(1, slash));
  const auto service = configuration->mServices.find(aOut.mService);
  if (service == configuration->mServices.end()) {
    return MakeRefusal(
      404, "no-such-service", "no service is named \"" + aOut.mService + "\"");
  }
  HttpRequest& out = aOut.mRunnerRequest;
  out.mPath = slash < path.size() ? path.substr(slash) : "/";
  const Route* route = FindRoute(service->second, out.mPath);
  if (!route) {
    return MakeRefusal(
      404, "no-such-route", "the service has no route for " + out.mPath);
  }
  aOut.mRoute = *route;
  Millis limit = route->mKind == RouteKind::Watch
                   ? service->second.mLongestWatch
                   : route->mDeadline;
  const std::string_view deadline =
    FindHeader(aRequest.mHeaders, kDeadlineHeader);
  if (!deadline.empty()) {
    const auto wanted = ParseNumber(deadline);
    if (!wanted || *wanted < 1) {
      return MakeRefusal(400,
                         "bad-deadline",
                         std::string(kDeadlineHeader) +
                           " must be a positive number of milliseconds");
    }
    limit = std::min(limit, Millis(*wanted));
  }
  aOut.mDeadline = Now() + limit;
  aOut.mClientAccount = FindHeader(aRequest.mHeaders, kClientAccountHeader);
  aOut.mKeyHeader = FindHeader(aRequest.mHeaders, kKeyHeader);
  if (!aOut.mKeyHeader.empty()) {
    // Client accounts choose their keys independently of each other, so equal
    // keys of two accounts are different keys. The same holds for equal keys
    // of different operations.
    aOut.mScopedKey = aOut.mService + '\n' + aOut.mClientAccount + '\n' +
                      aRequest.mMethod + ' ' + out.mPath + '\n' +
                      aOut.mKeyHeader;
  }
  out.mMethod = aRequest.mMethod;
  out.mQuery = aRequest.mQuery;
  out.mBody = aRequest.mBody;
  out.mHeaders = ForwardableHeaders(aRequest.mHeaders);
  SetHeader(out.mHeaders, kRequestIdHeader, aOut.mId);
  SetHeader(out.mHeaders, kClientAccountHeader, aOut.mClientAccount);
  SetHeader(out.mHeaders, kKeyHeader, aOut.mKeyHeader);
  return std::nullopt;
}

/// Handles a parsed request according to its key and kind. A watch that
/// reaches its deadline without an answer has not failed; its caller is told to
/// send it again.
ReplyWithOutcome
RequestHandler::Dispatch(const CallerRequest& aRequest)
{
  // When a peer forwards a request to free slots, the owner of the key has
  // admitted the key already.
  if (!aRequest.mScopedKey.empty() &&
      aRequest.mForwarded != Forwarded::ToFreeSlots) {
    return HandleKeyedRequest(aRequest);
  }
  if (aRequest.mRoute.mKind == RouteKind::Short) {
    return RouteRequest(aRequest);
  }
  auto reply = mWatches.Run([this, request = aRequest] {
    ReplyWithOutcome result = RouteRequest(request);
    const bool deadlineReached =
      result.mOutcome == RequestOutcome::Unknown && Now() >= request.mDeadline;
    return deadlineReached ? MakeWatchAgainReply() : result;
  });
  return reply ? std::move(*reply) : MakeWatchAgainReply();
}

/// Handles a request with an idempotency key: here if this process owns the
/// key's shard, otherwise by forwarding it to the owner. A request that was
/// forwarded once is not forwarded again.
ReplyWithOutcome
RequestHandler::HandleKeyedRequest(const CallerRequest& aRequest)
{
  const std::string shard = KeyShardId(KeyShardOf(aRequest.mScopedKey));
  if (mPorts.mOwns(shard)) {
    return HandleOwnedKey(aRequest);
  }
  const auto owner = mPorts.mOwnerOf(shard);
  if (!owner || owner->mName == mSettings.mSelf.mName ||
      aRequest.mForwarded != Forwarded::No) {
    return MakeRefusal(503, rule::kNoOwner, "the owner of the key is changing");
  }
  return ForwardToKeyOwner(aRequest, *owner);
}

/// Forwards a request to the owner of its key and returns the owner's reply.
ReplyWithOutcome
RequestHandler::ForwardToKeyOwner(const CallerRequest& aRequest,
                                  const Member& aOwner)
{
  Try result = SendToPeer(aRequest, aOwner.mAddress, "key");
  switch (result.mResult) {
    case TryResult::Answered:
      return { RequestOutcome::Answered, std::move(result.mReply), {} };
    case TryResult::RefusedByPeer:
      return { RequestOutcome::Refused, std::move(result.mReply), {} };
    case TryResult::NotSent:
    case TryResult::ShardNotOwned:
      return MakeRefusal(
        503, rule::kNoOwner, "the owner of the key can't be reached");
    case TryResult::NoValidAnswer:
    case TryResult::TimedOut:
      return MakeUnknown("key-owner-silent",
                         "the owner of the key gave no answer: " +
                           result.mProblem);
  }
  return MakeUnknown("key-owner-silent", "the owner of the key gave no answer");
}

/// Handles a request whose key belongs to a shard of this process.
ReplyWithOutcome
RequestHandler::HandleOwnedKey(const CallerRequest& aRequest)
{
  const KeyAdmission answer =
    mKeys.Begin(aRequest.mScopedKey, aRequest.mDeadline);
  if (answer.mNotOwner) {
    return MakeRefusal(503, rule::kNoOwner, "the owner of the key is changing");
  }
  if (answer.mCopyFailed) {
    return MakeRefusal(
      503, "key-not-copied", "the successor did not confirm the key");
  }
  switch (answer.mDecision) {
    case KeyDecision::Run:
      return RunKeyedRequest(aRequest);
    case KeyDecision::Replay:
      mMetrics.Count("key_replays");
      return { RequestOutcome::Answered,
               DecodeReply(*answer.mStoredReply),
               "stored-answer" };
    case KeyDecision::Wait:
      return MakeUnknown("key-running",
                         "a request with this key is still running");
    case KeyDecision::AnswerTooLarge:
      return MakeUnknown("answer-too-large",
                         "a request with this key has run; its answer was too "
                         "large to store");
    case KeyDecision::Unknown:
      return MakeUnknown("key-memory-lost",
                         "a request with this key may have run before the "
                         "owner of the key changed");
    case KeyDecision::Full:
      return MakeRefusal(
        503, rule::kKeyMemoryFull, "the memory for idempotency keys is full");
  }
  return MakeUnknown("internal", "internal error");
}

/// Runs a request whose key has been admitted, and stores its outcome.
ReplyWithOutcome
RequestHandler::RunKeyedRequest(const CallerRequest& aRequest)
{
  ReplyWithOutcome result = RouteRequest(aRequest);
  switch (result.mOutcome) {
    case RequestOutcome::Answered:
      mKeys.Finish(aRequest.mScopedKey, EncodeReply(result.mReply));
      break;
    case RequestOutcome::Refused:
      mKeys.EndNotRun(aRequest.mScopedKey);
      break;
    case RequestOutcome::Unknown:
      mKeys.EndUnknown(aRequest.mScopedKey);
      break;
  }
  return result;
}

/// Passes a request to the routing thread and carries out its commands.
ReplyWithOutcome
RequestHandler::RouteRequest(const CallerRequest& aRequest)
{
  auto mailbox = std::make_shared<Mailbox>(
    RequestLabel{ aRequest.mId, aRequest.mService, aRequest.mClientAccount });
  RequestArrived arrived;
  arrived.mNumber = ++mLastNumber;
  arrived.mKind = aRequest.mRoute.mKind;
  arrived.mIdempotent = aRequest.mRoute.mIdempotent;
  arrived.mOrigin = aRequest.mForwarded == Forwarded::ToFreeSlots
                      ? Origin::Peer
                      : Origin::Caller;
  arrived.mDeadline = aRequest.mDeadline;
  if (!mRouting.TryPostArrival({ arrived, mailbox })) {
    mMetrics.Count("ring_full");
    return MakeRefusal(503, "gateway-overloaded", "this gateway is overloaded");
  }
  return ExecuteCommands(aRequest, arrived.mNumber, *mailbox);
}

/// Carries out the commands of the routing thread and reports the result of
/// each try to it, until the request has ended.
ReplyWithOutcome
RequestHandler::ExecuteCommands(const CallerRequest& aRequest,
                                RequestNumber aNumber,
                                Mailbox& aMailbox)
{
  for (;;) {
    const Command command = aMailbox.Take();
    if (const auto* unanswered =
          std::get_if<EndWithoutAnswerCommand>(&command)) {
      return MakeUnansweredReply(unanswered->mExplanation);
    }
    Try result;
    if (const auto* runner = std::get_if<RunnerCommand>(&command)) {
      result = SendToOwnRunner(aRequest, *runner);
    } else {
      const auto peer = FindPeer(std::get<PeerCommand>(command).mPeer);
      result.mResult = TryResult::NotSent;
      if (peer) {
        result = SendToPeer(aRequest, peer->mAddress, "overflow");
      }
    }
    mRouting.Post(TryEnded{ aNumber, result.mResult });
    if (result.mResult == TryResult::Answered) {
      return { RequestOutcome::Answered, std::move(result.mReply), {} };
    }
    if (!result.mProblem.empty()) {
      LogEvent(LogLevel::Warning,
               "try_failed",
               { { "request", aRequest.mId }, { "error", result.mProblem } });
    }
  }
}

/// @return whether a request may be forwarded over a connection that was used
///         before. Only idempotent requests may, because the HTTP library may
///         send a request twice on such a connection.
ConnectionUse
RequestHandler::PeerConnectionUse(const CallerRequest& aRequest) const
{
  return aRequest.mRoute.mIdempotent == Idempotent::Yes
           ? ConnectionUse::Reusable
           : ConnectionUse::Fresh;
}

/// Sends a request to a runner whose shard this process owns.
RequestHandler::Try
RequestHandler::SendToOwnRunner(const CallerRequest& aRequest,
                                const RunnerCommand& aCommand)
{
  Try result;
  // If this process was paused after the slot was assigned, it may have lost
  // the runner's shard in the meantime.
  const auto owned = mPorts.mOwns(aCommand.mShard);
  const Millis left = TimeLeftUntil(aCommand.mTryDeadline);
  if (!owned || owned->mEpoch != aCommand.mEpoch || left == Millis(0)) {
    return result;
  }
  // Idempotent requests use a new connection too: if one were sent twice, it
  // would occupy two slots of the runner.
  auto reply = mClient.Execute(
    aCommand.mRunner, aRequest.mRunnerRequest, left, ConnectionUse::Fresh);
  if (!Succeeded(reply)) {
    const HttpFailure& failure = ErrorOf(reply);
    result.mProblem = ToText(aCommand.mRunner) + ": " + failure.mMessage;
    result.mResult = failure.mTimedOut ? TryResult::TimedOut
                     : failure.mState == SendState::NotSent
                       ? TryResult::NotSent
                       : TryResult::NoValidAnswer;
    return result;
  }
  result.mReply = std::move(ValueOf(reply));
  const bool matching = IsMatchingReply(result.mReply,
                                        aRequest.mRunnerRequest.mMethod,
                                        aRequest.mId,
                                        result.mProblem);
  result.mResult = matching ? TryResult::Answered : TryResult::NoValidAnswer;
  return result;
}

/// Forwards a request to a peer gateway.
/// @param aForwarded value of the header kForwardedHeader
RequestHandler::Try
RequestHandler::SendToPeer(const CallerRequest& aRequest,
                           const Endpoint& aPeer,
                           const char* aForwarded)
{
  Try result;
  const Millis left = TimeLeftUntil(aRequest.mDeadline);
  if (left == Millis(0)) {
    return result;
  }
  HttpRequest forwarded = aRequest.mRunnerRequest;
  forwarded.mPath = aRequest.mPath;
  SetHeader(forwarded.mHeaders, kForwardedHeader, aForwarded);
  SetHeader(forwarded.mHeaders, kDeadlineHeader, std::to_string(left.count()));
  const auto check = [&](const HttpReply& aReply) {
    const std::string_view id = FindHeader(aReply.mHeaders, kRequestIdHeader);
    return id.empty()           ? AnswerOrigin::Unproved
           : id == aRequest.mId ? AnswerOrigin::Own
                                : AnswerOrigin::Earlier;
  };
  auto reply = mClient.Execute(
    aPeer, forwarded, left + kPeerGraceMs, PeerConnectionUse(aRequest), check);
  if (!Succeeded(reply)) {
    const HttpFailure& failure = ErrorOf(reply);
    result.mProblem = ToText(aPeer) + ": " + failure.mMessage;
    result.mResult = failure.mState == SendState::NotSent
                       ? TryResult::NotSent
                       : TryResult::NoValidAnswer;
    return result;
  }
  result.mReply = std::move(ValueOf(reply));
  if (!IsMatchingReply(
        result.mReply, forwarded.mMethod, aRequest.mId, result.mProblem)) {
    result.mResult = TryResult::NoValidAnswer;
    return result;
  }
  switch (OutcomeOf(result.mReply)) {
    case RequestOutcome::Answered:
      result.mResult = TryResult::Answered;
      break;
    case RequestOutcome::Refused:
      result.mResult = TryResult::RefusedByPeer;
      break;
    case RequestOutcome::Unknown:
      result.mResult = TryResult::NoValidAnswer;
      result.mProblem = ToText(aPeer) + " reports an unknown end";
      break;
  }
  return result;
}

/// @return the live gateway with a member name, or nothing
std::optional<Member>
RequestHandler::FindPeer(const std::string& aName) const
{
  for (const Member& member : mPorts.mMembers()) {
    if (member.mName == aName) {
      return member;
    }
  }
  return std::nullopt;
}

} // namespace paddle
