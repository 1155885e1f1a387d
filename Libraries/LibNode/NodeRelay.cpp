// The part of Node that passes the operator's rows on between nodes.

#include <LibNode/Node.h>

#include <algorithm>
#include <limits>

namespace paddle {

void
Node::UpdateSource(MonotonicTime aNow)
{
  if (!mContext.mPeers.mReadOperatorRows) {
    return;
  }
  const RelaySettings& settings = mContext.mSettings.mRelay;
  mRelay.mConfirmedAt = mConfigurationConfirmedAt;
  if (ShouldGiveUpPeer(mRelay, settings, aNow)) {
    GiveUpPeer("silent", PeerFault::Late);
  }
  NodeRow self = mContext.mSelf;
  if (mDraining) {
    self.mPeerAddress.clear(); // Others don't count on this node any more.
  }
  OperatorSource source = ChooseSource(mView, self, mRelay, settings, aNow);
  if (source.mCause == SourceCause::NextReader && !mRelay.mPeer.empty() &&
      source.mPeer != mRelay.mPeer) {
    // Otherwise the node would return to it at the next confirmation.
    GiveUpPeer("stale", PeerFault::Late);
  }
  if (source.mPeer != mRelay.mPeer) {
    mRelay.mPeer = source.mPeer;
    mRelay.mPeerSince = aNow;
    mRelay.mPeerConfirmedAt.reset();
    mRelay.mTransferUntil.reset();
    mRelay.mReceivingUntil.reset();
    mPeerCall = 0;
  }
  if (source.mStore && !mSource.mStore) {
    mNextOperatorReadAt = aNow;
    if (source.mCause == SourceCause::PeersFailed) {
      mNextOperatorReadAt += StoreReadDelay(self, settings);
    }
  }
  if (source.mPeer != mSource.mPeer || source.mStore != mSource.mStore) {
    Log(LogLevel::Notice,
        "operator_source",
        "peer=" + (source.mPeer.empty() ? "none" : source.mPeer) +
          " store=" + (source.mStore ? "yes" : "no") +
          " cause=" + std::string(NameOf(source.mCause)) + " " +
          FormatConfigurationCopy(ConfigurationInForce()));
  }
  mSource = std::move(source);
}

void
Node::ReadFromPeer(Millis aWait)
{
  RelayRequest request;
  request.mWait = aWait;
  CallPeer(request, mContext.mSettings.mRelay.mCallTimeout);
}

void
Node::ReadLargeRows(std::size_t aBytes)
{
  RelayRequest request;
  request.mLargeRows = true;
  const Millis timeout = TransferTimeout(aBytes, mContext.mSettings.mRelay);
  mRelay.mTransferUntil = mContext.Now() + timeout;
  CallPeer(request, timeout);
}

void
Node::CallPeer(const RelayRequest& aRequest, Millis aTimeout)
{
  RelayRequest request = aRequest;
  request.mAfter =
    mContext.mDirectory
      .mOperatorRowsAfter(std::numeric_limits<std::int64_t>::max())
      .mVersion;
  mPeerCall = ++mLastPeerCall;
  const MonotonicTime sentAt = mContext.Now();
  std::weak_ptr<bool> alive = mAlive;
  mContext.mPeers.mReadOperatorRows(
    mSource.mAddress,
    request,
    aTimeout,
    [this, alive, request, sentAt, call = mPeerCall](
      const std::optional<std::string>& aBody) {
      // The answer of a peer that was given up meanwhile is not used.
      if (!alive.expired() && call == mPeerCall) {
        HandlePeerAnswer(request, aBody, sentAt);
      }
    });
}

void
Node::HandlePeerAnswer(const RelayRequest& aRequest,
                       const std::optional<std::string>& aBody,
                       MonotonicTime aSentAt)
{
  const RelaySettings& settings = mContext.mSettings.mRelay;
  const MonotonicTime now = mContext.Now();
  mPeerCall = 0;
  mRelay.mTransferUntil.reset();
  const bool received = mRelay.mReceivingUntil && now < *mRelay.mReceivingUntil;
  mRelay.mReceivingUntil.reset();
  if (!aBody) {
    GiveUpPeer("no_answer", PeerFault::Unusable);
    return;
  }
  const Outcome<RelayAnswer> parsed = ParseRelayAnswer(*aBody);
  if (!Succeeded(parsed)) {
    Log(LogLevel::Warning,
        "peer_answer_refused",
        "peer=" + mRelay.mPeer + " bytes=" + std::to_string(aBody->size()) +
          " cause=" + ErrorOf(parsed).mMessage);
    GiveUpPeer("refused", PeerFault::Unusable);
    return;
  }
  RecordPeerAnswer(mRelay);
  const RelayAnswer& answer = ValueOf(parsed);
  if (answer.mReceiving) {
    // The next answer is due before that.
    mRelay.mReceivingUntil = now + settings.mCallTimeout;
  }
  const std::optional<MonotonicTime> confirmedAt =
    ConfirmationTime(answer, aSentAt);
  if (!confirmedAt) {
    GiveUpPeer("unconfirmed", PeerFault::Late);
    return;
  }
  // The peer may have an older version than this node: versions also count
  // writes to other tables. Its copy was complete when the store confirmed it,
  // so that this node's copy, which is not older, was complete as well.
  if (answer.mOmittedBytes > 0) {
    // An old announcement says nothing of the rows since, unless the peer has
    // just received them.
    if (aRequest.mLargeRows ||
        now - *confirmedAt >
          (received ? settings.mMaxReceivingAge : 2 * settings.mMaxAge)) {
      GiveUpPeer("stale", PeerFault::Late);
      return;
    }
    ReadLargeRows(answer.mOmittedBytes);
    return;
  }
  const std::string readTime =
    std::to_string(std::chrono::duration_cast<Millis>(now - aSentAt).count());
  FinishOperatorRead(mContext.mDirectory.mApplyOperatorRows(answer.mRows),
                     std::min(*confirmedAt, now),
                     "peer",
                     "peer=" + mRelay.mPeer + " read_ms=" + readTime);
  mRelay.mPeerConfirmedAt =
    std::max(*confirmedAt, mRelay.mPeerConfirmedAt.value_or(*confirmedAt));
  if (aRequest.mLargeRows) {
    mRelay.mPeerSince = now;
    mRelay.mTransferUntil = now + settings.mAfterTransfer;
    ReadFromPeer(Millis(0));
  }
}

void
Node::GiveUpPeer(std::string_view aCause, PeerFault aFault)
{
  const MonotonicTime now = mContext.Now();
  Log(LogLevel::Notice,
      "peer_given_up",
      "peer=" + mRelay.mPeer + " cause=" + std::string(aCause) + " " +
        FormatConfigurationCopy(ConfigurationInForce()));
  RecordPeerFault(mRelay, mContext.mSettings.mRelay, aFault, now);
  mPeerCall = 0;
}

std::string
Node::RelayAnswerTo(const HeldRequest& aRequest, MonotonicTime aNow) const
{
  RelayAnswer answer;
  answer.mAge = ConfigurationInForce().mAge;
  answer.mHeld =
    std::chrono::duration_cast<Millis>(aNow - aRequest.mReceivedAt);
  answer.mReceiving = mOperatorReadInFlight &&
                      mContext.mOperatorProgressAt > mOperatorReadSentAt &&
                      aNow - mContext.mOperatorProgressAt <
                        mContext.mSettings.mRelay.mReceivingPause;
  answer.mRows =
    mContext.mDirectory.mOperatorRowsAfter(aRequest.mRequest.mAfter);
  std::size_t bytes = 0;
  for (const StoreRow& row : answer.mRows.mRows) {
    bytes += row.mKey.size() + row.mValue.size();
  }
  if (bytes > mContext.mSettings.mRelay.mInlineBytes &&
      !aRequest.mRequest.mLargeRows) {
    answer.mOmittedBytes = bytes;
    answer.mRows.mRows.clear();
    answer.mRows.mListsKeys = false;
    answer.mRows.mKeys.clear();
  }
  return FormatRelayAnswer(answer);
}

void
Node::ServeOperatorRows(const RelayRequest& aRequest,
                        std::function<void(std::string)> aReply)
{
  const MonotonicTime now = mContext.Now();
  HeldRequest held{ aRequest, now, std::move(aReply) };
  const bool answersAtOnce =
    aRequest.mWait <= Millis(0) || !mConfigurationConfirmedAt ||
    !mContext.mDirectory.mOperatorRowsAfter(aRequest.mAfter).mRows.empty();
  if (answersAtOnce) {
    held.mReply(RelayAnswerTo(held, now));
    return;
  }
  held.mRequest.mWait =
    std::min(aRequest.mWait, mContext.mSettings.mRelay.mHoldTime);
  mHeldRequests.push_back(std::move(held));
}

void
Node::AnswerHeldRequests(MonotonicTime aNow, bool aAll)
{
  std::vector<HeldRequest> due;
  std::erase_if(mHeldRequests, [&](HeldRequest& aHeld) {
    const bool isDue = aAll || aNow - aHeld.mReceivedAt >= aHeld.mRequest.mWait;
    if (isDue) {
      due.push_back(std::move(aHeld));
    }
    return isDue;
  });
  for (const HeldRequest& held : due) {
    held.mReply(RelayAnswerTo(held, aNow));
  }
}

} // namespace paddle
