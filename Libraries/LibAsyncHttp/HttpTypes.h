#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <LibBase/AnswerOrigin.h>
#include <LibTime/Time.h>

namespace paddle {

/// Names and values of header fields, in order.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Time-outs of an answer whose first bytes have arrived.
struct TransferTimeouts
{
  Millis mStall; ///< Longest pause without further bytes.
  /// Longest time from sending the request to the end of the answer. Without
  /// it, a peer that sends a byte now and then would hold the connection for
  /// ever.
  Millis mTotal;
};

struct HttpAnswer;

/// What the earlier answers on a connection have shown of its peer.
struct AnswerHistory
{
  /// Reading of the peer's clock in the latest answer.
  std::optional<std::int64_t> mPeerClockMs;
  /// Identity of the peer's process, once an answer has told it.
  std::optional<std::int64_t> mPeerIdentity;
};

/// Body of a call for all peers but one process. The caller defines what
/// identifies a process, see AnswerHistory::mPeerIdentity.
struct BodyForOthers
{
  std::int64_t mPeerIdentity = 0; ///< The process that HttpCall::mBody is for.
  std::string mBody;
};

/// Decides about the answer to a call from its content. It must find Earlier
/// for each repetition of an answer for which it found Own.
/// @param aHistory of the connection; updated if the answer is the call's own
using AnswerCheck = std::function<AnswerOrigin(const HttpAnswer& aAnswer,
                                               AnswerHistory& aHistory)>;

/// A request that this process sends to a peer.
struct HttpCall
{
  std::string_view mMethod;
  std::string mTarget;
  HttpHeaders mHeaders;
  std::string mBody;
  Millis mTimeout{ 1000 };
  /// Body to send instead of mBody unless the answers on the connection are
  /// from the process that mBody is for. Another one may have taken its place
  /// before the connection was opened.
  std::optional<BodyForOthers> mBodyForOthers = std::nullopt;
  /// The time-out starts anew once a connection has been opened for the call.
  /// Otherwise, repetitions on new connections may never be answered over a
  /// slow link, because opening one takes as long as an answer.
  bool mTimeoutAfterOpening = false;
  /// The peer may delay its answer until something changes, and the caller
  /// repeats the call after any failure.
  bool mLongPoll = false;
  /// Sent before queued calls that are not urgent.
  bool mUrgent = false;
  /// Asked just before the call is sent, which may be long after it was queued;
  /// a call that is not wanted any more fails as not sent. Without a function,
  /// the call is always sent.
  std::function<bool()> mStillWanted = nullptr;
  /// For calls whose answer may be large: from the answer's first bytes on,
  /// these time-outs replace mTimeout. A bound on the whole call would break
  /// off each large answer over a slow link, and its repetition as well.
  std::optional<TransferTimeouts> mTransferTimeouts = std::nullopt;
  /// Multiple of mTimeout and of the longest stall that the call may take as
  /// long as no later call was answered. Once one was, the answer to this call
  /// was lost: on a link that is merely full, it would have arrived before.
  /// Calls with a multiple don't end because others got no answer.
  std::uint32_t mTimeoutFactor = 1;
  /// Time by which the peer may delay its answer to a long poll.
  Millis mAnswerDelay{ 0 };
  /// Largest body of the answer, in bytes; a larger one is no answer. The
  /// default is for rows of the store: up to 1 MB of them, encoded in base64
  /// and with their keys, and for a copy of the operator's rows.
  std::uint64_t mMaxAnswerBytes = 8UL << 20;
  /// Called whenever bytes of the answer have arrived, with their number so
  /// far, but not with the last ones. It must not send or close anything.
  std::function<void(std::size_t aReceivedBytes)> mOnProgress = nullptr;
  /// Without it, the origin of every answer is unproved.
  AnswerCheck mCheckAnswer = nullptr;
};

/// Whether a call failed to bring a complete answer, and what is known then
/// about its effect.
enum class CallFailure
{
  None,
  NotSent, ///< No byte was sent, so the peer certainly did not process it.
  NoAnswer ///< The peer may have processed the request.
};

/// The response of a peer to a call.
struct HttpAnswer
{
  CallFailure mFailure = CallFailure::None;
  /// Whether the call failed because its answer, or further bytes of it, did
  /// not come in time.
  bool mLate = false;
  int mStatus = 0; ///< HTTP status code; 0 after a failure.
  std::string mBody;
  /// Bytes of the answer that have arrived, its header included.
  std::size_t mReceivedBytes = 0;
  std::string mCallId; ///< Value of the header field kCallIdHeader, or empty.
};

/// Header field that identifies a call. Servers of this project repeat it in
/// their answer.
inline constexpr const char* kCallIdHeader = "X-Call-Id";

/// Decides about an answer by its reading of the peer's monotonic clock, which
/// is later than that of the answer before, because a connection rests between
/// an answer and the next call.
/// @param aClockMs the reading, if the answer has one
AnswerOrigin
CheckPeerClock(std::optional<std::int64_t> aClockMs, AnswerHistory& aHistory);

/// Receives the outcome of a call.
using AnswerHandler = std::function<void(HttpAnswer)>;

/// A request that this process received as a server.
struct HttpIncomingRequest
{
  std::string mMethod;
  std::string mTarget;
  std::string mHost; ///< Value of the Host header field.
  std::string mBody;
  HttpHeaders mHeaders;
};

/// The response of this process to a request that it received.
struct HttpReply
{
  int mStatus = 500;
  std::string mContentType; ///< Empty: the header field is left out.
  std::string mBody;
  HttpHeaders mHeaders;
};

/// Sends the response to a request.
using ReplyHandler = std::function<void(HttpReply)>;

} // namespace paddle
