#include <LibAsyncHttp/MessageReader.h>

#include <boost/beast/http/fields.hpp>
#include <stdexcept>

namespace paddle {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

/// Memory that the parser takes for a header field beside its text: a node of a
/// list and of a tree, and the allocator's own bytes.
constexpr std::size_t kFieldMemoryBytes = 96;
/// Length of a line's end.
constexpr std::size_t kLineEndBytes = 2;

MessageFault
FaultOf(const error_code& aError)
{
  if (aError == http::error::body_limit) {
    return MessageFault::BodyTooLong;
  }
  if (aError == http::error::header_limit) {
    return MessageFault::HeadTooLong;
  }
  return MessageFault::Malformed;
}

std::size_t
CountLines(std::string_view aText)
{
  return static_cast<std::size_t>(std::count(aText.begin(), aText.end(), '\n'));
}

} // namespace

template<bool kIsRequest>
MessageReader<kIsRequest>::MessageReader(const MessageLimits& aLimits)
  : mLimits(aLimits)
{
  mParser.header_limit(
    static_cast<std::uint32_t>(aLimits.mHeadBytes + kStartLineBytes));
  mParser.body_limit(aLimits.mBodyBytes);
}

template<bool kIsRequest>
std::size_t
MessageReader<kIsRequest>::Take(std::string_view aInput)
{
  std::size_t taken = 0;
  while (taken < aInput.size() && !mFault && !Complete()) {
    const std::string_view input = aInput.substr(taken);
    if (mTrailerBegin > 0 &&
        FindEnd(input, "\r\n\r\n", mTrailerBegin - kLineEndBytes) ==
          std::string_view::npos) {
      CheckLeft(input);
      break;
    }
    const bool inHead = !mParser.is_header_done();
    const std::size_t bodyBytes = BodyBytes();
    error_code error;
    std::size_t count = 0;
    try {
      count = mParser.put(boost::asio::const_buffer(input.data(), input.size()),
                          error);
    } catch (const std::length_error&) {
      // A name or a value of 64 KiB or more, if the limits allow it.
      mFault = MessageFault::HeadTooLong;
      break;
    }
    taken += count;
    if (error && error != http::error::need_more) {
      mFault = FaultOf(error);
      break;
    }
    Count(input, count, BodyBytes() - bodyBytes, inHead);
    if (count > 0) {
      mSearchedBytes = 0;
      mTrailerBegin = 0;
    }
    if (error == http::error::need_more) {
      CheckLeft(input.substr(count));
      break;
    }
  }
  return taken;
}

template<bool kIsRequest>
void
MessageReader<kIsRequest>::Count(std::string_view aInput,
                                 std::size_t aTaken,
                                 std::size_t aBodyBytes,
                                 bool aInHead)
{
  if (aInHead) {
    mHeadBytes += aTaken;
    mFieldLines += CountLines(aInput.substr(0, aTaken));
    if (mHeadBytes > mLimits.mHeadBytes + kStartLineBytes) {
      mFault = MessageFault::HeadTooLong;
    }
    return;
  }
  if (!mParser.chunked()) {
    return;
  }
  const std::size_t framing = aTaken - aBodyBytes;
  if (Complete()) {
    // The last chunk header with the trailer section.
    const std::string_view end = aInput.substr(0, aTaken);
    const std::size_t skipped = mFramingBytes > 0 ? kLineEndBytes : 0;
    const std::size_t trailers = end.find("\r\n", skipped) + kLineEndBytes;
    mFieldLines += CountLines(end);
    if (trailers > skipped + kChunkHeaderBytes) {
      mFault = MessageFault::FramingTooLong;
    } else if (aTaken - trailers > mLimits.mHeadBytes) {
      mFault = MessageFault::HeadTooLong;
    }
    return;
  }
  mFramingBytes += framing;
  if (framing > kLineEndBytes + kChunkHeaderBytes ||
      mFramingBytes >
        std::max(kMinFramingBytes, kFramingBytesPerBodyByte * BodyBytes())) {
    mFault = MessageFault::FramingTooLong;
  }
}

template<bool kIsRequest>
void
MessageReader<kIsRequest>::CheckLeft(std::string_view aLeft)
{
  if (!mParser.is_header_done()) {
    if (mHeadBytes + aLeft.size() > mLimits.mHeadBytes + kStartLineBytes) {
      mFault = MessageFault::HeadTooLong;
    }
    return;
  }
  if (!mParser.chunked()) {
    return;
  }
  // The line end behind a chunk is left until the next chunk header is whole.
  const std::size_t skipped = mFramingBytes > 0 ? kLineEndBytes : 0;
  if (mTrailerBegin == 0) {
    // The parser takes a whole chunk header, unless it is the last one.
    const std::size_t end = FindEnd(aLeft, "\r\n", skipped);
    mTrailerBegin = end == std::string_view::npos ? 0 : end;
  }
  mSearchedBytes = aLeft.size();
  const std::size_t header = mTrailerBegin == 0 ? aLeft.size() : mTrailerBegin;
  if (header > skipped + kChunkHeaderBytes) {
    mFault = MessageFault::FramingTooLong;
  } else if (aLeft.size() - header > mLimits.mHeadBytes) {
    mFault = MessageFault::HeadTooLong;
  }
}

template<bool kIsRequest>
std::size_t
MessageReader<kIsRequest>::FindEnd(std::string_view aInput,
                                   std::string_view aText,
                                   std::size_t aFrom) const
{
  // The first bytes of the text may be the last ones that were searched.
  const std::size_t searched =
    mSearchedBytes - std::min(mSearchedBytes, aText.size() - 1);
  const std::size_t found = aInput.find(aText, std::max(aFrom, searched));
  return found == std::string_view::npos ? found : found + aText.size();
}

template<bool kIsRequest>
std::size_t
MessageReader<kIsRequest>::MemoryBytes() const
{
  return mHeadBytes + mFieldLines * kFieldMemoryBytes +
         mParser.get().body().capacity();
}

template class MessageReader<true>;
template class MessageReader<false>;

} // namespace paddle
