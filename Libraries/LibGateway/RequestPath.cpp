#include <LibGateway/RequestPath.h>

#include <algorithm>
#include <charconv>

#include <LibBase/Log.h>
#include <LibGateway/RunnerFollower.h>

namespace paddle {

namespace {

/// Time beyond the deadline that a peer gets to report its own end, so that
/// its "refused" is not lost as "unknown".
constexpr Millis kPeerGraceMs{ 100 };

MonotonicTime
Now()
{
  return std::chrono::steady_clock::now();
}

Millis
LeftUntil(MonotonicTime aEnd)
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

Forwarded
ForwardedBy(const HttpRequest& aRequest)
{
  const std::string_view text = FindHeader(aRequest.mHeaders, kForwardedHeader);
  if (text == "key") {
    return Forwarded::ToKeyOwner;
  }
  return text == "overflow" ? Forwarded::ToFreeSlots : Forwarded::No;
}

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

void
SetHeader(HttpHeaders& aHeaders, const char* aName, std::string aValue)
{
  if (!aValue.empty()) {
    aHeaders.emplace_back(aName, std::move(aValue));
  }
}

} // namespace

RequestPath::RequestPath(const GatewaySettings& aSettings,
                         const GatewayPorts& aPorts,
                         HttpClient& aClient,
                         RoutingThread& aRouting,
                         KeyBook& aKeys,
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
RequestPath::Close()
{
  mClosed = true;
}

HttpReply
RequestPath::Handle(const HttpRequest& aRequest)
{
  const MonotonicTime start = Now();
  CallerRequest request;
  const auto wrong = Parse(aRequest, request);
  HttpReply reply = Complete(request, wrong ? *wrong : Dispatch(request));
  mMetrics.Observe(request.mRoute.mKind == RouteKind::Watch ? "watch"
                                                            : "request",
                   std::chrono::duration_cast<Micros>(Now() - start));
  return reply;
}

HttpReply
RequestPath::Complete(const CallerRequest& aRequest, RequestEnd aEnd)
{
  mMetrics.Count(std::string("outcome_") + NameOf(aEnd.mOutcome));
  Record(aRequest, aEnd);
  HttpReply& reply = aEnd.mReply;
  reply.mHeaders = PassedHeaders(reply.mHeaders);
  reply.mHeaders.emplace_back(kRequestIdHeader, aRequest.mId);
  reply.mHeaders.emplace_back(kOutcomeHeader, NameOf(aEnd.mOutcome));
  return std::move(reply);
}

/// Records a decision that the routing core did not make.
void
RequestPath::Record(const CallerRequest& aRequest, const RequestEnd& aEnd)
{
  if (aEnd.mRule.empty()) {
    return;
  }
  RequestRecord record;
  record.mTime = std::chrono::system_clock::now();
  record.mRequest = std::make_shared<const Mailbox>(
    RequestLabel{ aRequest.mId, aRequest.mService, aRequest.mCustomer });
  record.mExplanation.mKind = aEnd.mOutcome == RequestOutcome::Refused
                                ? DecisionKind::Refuse
                                : DecisionKind::Serve;
  record.mOtherRule = aEnd.mRule;
  mRecords.Add(std::move(record));
}

std::optional<RequestEnd>
RequestPath::Parse(const HttpRequest& aRequest, CallerRequest& aOut)
{
  aOut.mForwarded = ForwardedBy(aRequest);
  aOut.mId = FindHeader(aRequest.mHeaders, kRequestIdHeader);
  if (aOut.mForwarded == Forwarded::No || aOut.mId.empty()) {
    aOut.mId = mSettings.mSelf.mName + "-" + mSettings.mSelf.mIncarnation +
               "-" + std::to_string(++mNumber);
  }
  if (mClosed) {
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
  HttpRequest& out = aOut.mToRunner;
  out.mPath = slash < path.size() ? path.substr(slash) : "/";
  const Route* route = FindRoute(service->second, out.mPath);
  if (!route) {
    return MakeRefusal(
      404, "no-such-route", "the service has no route for " + out.mPath);
  }
  aOut.mRoute = *route;
  Millis most = route->mKind == RouteKind::Watch ? service->second.mLongestWatch
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
    most = std::min(most, Millis(*wanted));
  }
  aOut.mDeadline = Now() + most;
  aOut.mCustomer = FindHeader(aRequest.mHeaders, kCustomerHeader);
  aOut.mKeyHeader = FindHeader(aRequest.mHeaders, kKeyHeader);
  if (!aOut.mKeyHeader.empty()) {
    // Customers choose keys independently, so a key is theirs alone, and a key
    // that is used for another operation is another key.
    aOut.mKey = aOut.mService + '\n' + aOut.mCustomer + '\n' +
                aRequest.mMethod + ' ' + out.mPath + '\n' + aOut.mKeyHeader;
  }
  out.mMethod = aRequest.mMethod;
  out.mQuery = aRequest.mQuery;
  out.mBody = aRequest.mBody;
  out.mHeaders = PassedHeaders(aRequest.mHeaders);
  SetHeader(out.mHeaders, kRequestIdHeader, aOut.mId);
  SetHeader(out.mHeaders, kCustomerHeader, aOut.mCustomer);
  SetHeader(out.mHeaders, kKeyHeader, aOut.mKeyHeader);
  return std::nullopt;
}

RequestEnd
RequestPath::Dispatch(const CallerRequest& aRequest)
{
  // A peer that forwards for free slots has settled the key already.
  if (!aRequest.mKey.empty() && aRequest.mForwarded != Forwarded::ToFreeSlots) {
    return HandleKeyed(aRequest);
  }
  if (aRequest.mRoute.mKind == RouteKind::Short) {
    return RouteRequest(aRequest);
  }
  auto end = mWatches.Run([this, request = aRequest] {
    RequestEnd result = RouteRequest(request);
    const bool bounded =
      result.mOutcome == RequestOutcome::Unknown && Now() >= request.mDeadline;
    return bounded ? MakeWatchAgain() : result;
  });
  return end ? std::move(*end) : MakeWatchAgain();
}

RequestEnd
RequestPath::HandleKeyed(const CallerRequest& aRequest)
{
  const std::string shard = KeyShardId(KeyShardOf(aRequest.mKey));
  if (mPorts.mOwns(shard)) {
    return HandleOwnKey(aRequest);
  }
  const auto owner = mPorts.mOwnerOf(shard);
  if (!owner || owner->mName == mSettings.mSelf.mName ||
      aRequest.mForwarded != Forwarded::No) {
    return MakeRefusal(503, rule::kNoOwner, "the owner of the key is changing");
  }
  return HandOverToKeyOwner(aRequest, *owner);
}

RequestEnd
RequestPath::HandOverToKeyOwner(const CallerRequest& aRequest,
                                const Member& aOwner)
{
  Try end = SendToPeer(aRequest, aOwner.mAddress, "key");
  switch (end.mResult) {
    case TryResult::Answered:
      return { RequestOutcome::Answered, std::move(end.mReply), {} };
    case TryResult::PeerNotRun:
      return { RequestOutcome::Refused, std::move(end.mReply), {} };
    case TryResult::NotSent:
    case TryResult::Withheld:
      return MakeRefusal(
        503, rule::kNoOwner, "the owner of the key can't be reached");
    case TryResult::Broken:
    case TryResult::TimedOut:
      return MakeUnknown("key-owner-silent",
                         "the owner of the key gave no answer: " + end.mWhy);
  }
  return MakeUnknown("key-owner-silent", "the owner of the key gave no answer");
}

RequestEnd
RequestPath::HandleOwnKey(const CallerRequest& aRequest)
{
  const KeyAnswer answer = mKeys.Begin(aRequest.mKey, aRequest.mDeadline);
  if (answer.mOwnerMoved) {
    return MakeRefusal(503, rule::kNoOwner, "the owner of the key is changing");
  }
  if (answer.mCopyFailed) {
    return MakeRefusal(
      503, "key-not-copied", "the successor did not confirm the key");
  }
  switch (answer.mDecision) {
    case KeyDecision::Run:
      return RunKeyed(aRequest);
    case KeyDecision::Replay:
      mMetrics.Count("key_replays");
      return { RequestOutcome::Answered,
               DecodeReply(*answer.mStored),
               "stored-answer" };
    case KeyDecision::Wait:
      return MakeUnknown("key-running",
                         "a request with this key is still running");
    case KeyDecision::AnswerTooOld:
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

RequestEnd
RequestPath::RunKeyed(const CallerRequest& aRequest)
{
  RequestEnd end = RouteRequest(aRequest);
  switch (end.mOutcome) {
    case RequestOutcome::Answered:
      mKeys.Finish(aRequest.mKey, EncodeReply(end.mReply));
      break;
    case RequestOutcome::Refused:
      mKeys.EndNotRun(aRequest.mKey);
      break;
    case RequestOutcome::Unknown:
      mKeys.EndUnknown(aRequest.mKey);
      break;
  }
  return end;
}

RequestEnd
RequestPath::RouteRequest(const CallerRequest& aRequest)
{
  auto mailbox = std::make_shared<Mailbox>(
    RequestLabel{ aRequest.mId, aRequest.mService, aRequest.mCustomer });
  RequestArrived arrived;
  arrived.mNumber = ++mNumber;
  arrived.mKind = aRequest.mRoute.mKind;
  arrived.mIdempotent = aRequest.mRoute.mIdempotent;
  arrived.mOrigin = aRequest.mForwarded == Forwarded::ToFreeSlots
                      ? Origin::Peer
                      : Origin::Caller;
  arrived.mDeadline = aRequest.mDeadline;
  if (!mRouting.TryArrive({ arrived, mailbox })) {
    mMetrics.Count("ring_full");
    return MakeRefusal(503, "gateway-overloaded", "this gateway is overloaded");
  }
  return FollowCommands(aRequest, arrived.mNumber, *mailbox);
}

RequestEnd
RequestPath::FollowCommands(const CallerRequest& aRequest,
                            RequestNumber aNumber,
                            Mailbox& aMailbox)
{
  for (;;) {
    const Command command = aMailbox.Take();
    if (const auto* end = std::get_if<GiveUpCommand>(&command)) {
      return MakeEnd(end->mExplanation);
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
    if (!result.mWhy.empty()) {
      LogEvent(LogLevel::Warning,
               "try_failed",
               { { "request", aRequest.mId }, { "error", result.mWhy } });
    }
  }
}

ConnectionUse
RequestPath::UseToPeer(const CallerRequest& aRequest) const
{
  return aRequest.mRoute.mIdempotent == Idempotent::Yes
           ? ConnectionUse::Reusable
           : ConnectionUse::Fresh;
}

RequestPath::Try
RequestPath::SendToOwnRunner(const CallerRequest& aRequest,
                             const RunnerCommand& aCommand)
{
  Try result;
  // A process that was paused since the slot was assigned may have lost it.
  const auto owned = mPorts.mOwns(aCommand.mShard);
  const Millis left = LeftUntil(aCommand.mTryEnds);
  if (!owned || owned->mEpoch != aCommand.mEpoch || left == Millis(0)) {
    return result;
  }
  // Idempotent requests too: a second delivery would take a second slot.
  auto reply = mClient.Execute(
    aCommand.mRunner, aRequest.mToRunner, left, ConnectionUse::Fresh);
  if (!Succeeded(reply)) {
    const HttpFailure& failure = ErrorOf(reply);
    result.mWhy = ToText(aCommand.mRunner) + ": " + failure.mMessage;
    result.mResult = failure.mTimedOut ? TryResult::TimedOut
                     : failure.mState == SendState::NotSent ? TryResult::NotSent
                                                            : TryResult::Broken;
    return result;
  }
  result.mReply = std::move(ValueOf(reply));
  const bool own = IsOwnAnswer(
    result.mReply, aRequest.mToRunner.mMethod, aRequest.mId, result.mWhy);
  result.mResult = own ? TryResult::Answered : TryResult::Broken;
  return result;
}

RequestPath::Try
RequestPath::SendToPeer(const CallerRequest& aRequest,
                        const Endpoint& aPeer,
                        const char* aForwarded)
{
  Try result;
  const Millis left = LeftUntil(aRequest.mDeadline);
  if (left == Millis(0)) {
    return result;
  }
  HttpRequest forwarded = aRequest.mToRunner;
  forwarded.mPath = aRequest.mPath;
  SetHeader(forwarded.mHeaders, kForwardedHeader, aForwarded);
  SetHeader(forwarded.mHeaders, kDeadlineHeader, std::to_string(left.count()));
  auto reply =
    mClient.Execute(aPeer, forwarded, left + kPeerGraceMs, UseToPeer(aRequest));
  if (!Succeeded(reply)) {
    const HttpFailure& failure = ErrorOf(reply);
    result.mWhy = ToText(aPeer) + ": " + failure.mMessage;
    result.mResult = failure.mState == SendState::NotSent ? TryResult::NotSent
                                                          : TryResult::Broken;
    return result;
  }
  result.mReply = std::move(ValueOf(reply));
  if (!IsOwnAnswer(
        result.mReply, forwarded.mMethod, aRequest.mId, result.mWhy)) {
    result.mResult = TryResult::Broken;
    return result;
  }
  switch (OutcomeOf(result.mReply)) {
    case RequestOutcome::Answered:
      result.mResult = TryResult::Answered;
      break;
    case RequestOutcome::Refused:
      result.mResult = TryResult::PeerNotRun;
      break;
    case RequestOutcome::Unknown:
      result.mResult = TryResult::Broken;
      result.mWhy = ToText(aPeer) + " reports an unknown end";
      break;
  }
  return result;
}

std::optional<Member>
RequestPath::FindPeer(const std::string& aName) const
{
  for (const Member& member : mPorts.mMembers()) {
    if (member.mName == aName) {
      return member;
    }
  }
  return std::nullopt;
}

} // namespace paddle
