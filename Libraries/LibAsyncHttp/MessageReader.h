#pragma once

// Boost 1.74 uses std::exchange in its coroutine support without including
// <utility>, so <utility> must come before Asio.
#include <utility>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace paddle {

/// Limits on one message. What they leave open is bounded by the constants
/// below.
struct MessageLimits
{
  /// Of the header fields, and of the trailer section.
  std::size_t mHeadBytes = 16384;
  std::uint64_t mBodyBytes = 262144;
};

/// Longest start line beyond MessageLimits::mHeadBytes. The parser took as much
/// beyond that limit before there were others, so that no head is refused that
/// was accepted then.
inline constexpr std::size_t kStartLineBytes = 4096;
/// Longest header of a chunk, with its extensions. No client of the platform
/// sends extensions; the longest number takes 16 bytes.
inline constexpr std::size_t kChunkHeaderBytes = 4096;
/// Largest size of all chunk headers of a message, in bytes for each byte of
/// its body so far. Chunks of one byte take 5.
inline constexpr std::uint64_t kFramingBytesPerBodyByte = 16;
/// The chunk headers of a message may always take as much.
inline constexpr std::uint64_t kMinFramingBytes = 16384;

/// Why a message is not accepted.
enum class MessageFault
{
  Malformed,
  HeadTooLong, ///< Or its trailer section.
  BodyTooLong,
  FramingTooLong ///< A chunk header, or all of them together.
};

/// The body of a message. Other than http::string_body it reserves no memory
/// for a length that is only announced.
struct GrowingBody
{
  using value_type = std::string;

  static std::uint64_t size(const value_type& aBody) { return aBody.size(); }

  // The parser prescribes the names of this class and its functions.
  class reader // NOLINT(readability-identifier-naming)
  {
  public:
    template<bool kIsRequest, class Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>&, value_type& aBody)
      : mBody(aBody)
    {
    }

    void init(const boost::optional<std::uint64_t>& aLength,
              boost::system::error_code& aError)
    {
      mLength = aLength.value_or(UINT64_MAX);
      aError = {};
    }

    template<class Buffers>
    std::size_t put(const Buffers& aBuffers, boost::system::error_code& aError)
    {
      const std::size_t count = boost::beast::buffer_bytes(aBuffers);
      const std::size_t needed = mBody.size() + count;
      if (needed > mBody.capacity()) {
        mBody.reserve(std::max<std::size_t>(
          needed, std::min<std::uint64_t>(2 * mBody.capacity(), mLength)));
      }
      for (const auto buffer : boost::beast::buffers_range_ref(aBuffers)) {
        mBody.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      aError = {};
      return count;
    }

    void finish(boost::system::error_code& aError) { aError = {}; }

  private:
    value_type& mBody;
    std::uint64_t mLength = UINT64_MAX;
  };
};

/// Reads one message from received bytes. It bounds what must be buffered until
/// the message is complete, and the work for each byte: what it leaves is not
/// parsed again before further bytes can complete it.
template<bool kIsRequest>
class MessageReader
{
public:
  using Message = boost::beast::http::
    message<kIsRequest, GrowingBody, boost::beast::http::fields>;

  explicit MessageReader(const MessageLimits& aLimits);

  /// Takes received bytes until the message is complete or has a fault.
  /// @param aInput what the call before has left, followed by further bytes
  /// @return number of bytes taken
  std::size_t Take(std::string_view aInput);

  [[nodiscard]] bool Complete() const { return mParser.is_done(); }
  [[nodiscard]] std::optional<MessageFault> Fault() const { return mFault; }
  /// @return the message, whole once Complete() is true
  Message& Content() { return mParser.get(); }
  /// @return whether the connection stays open after the message; it must be
  ///         complete
  [[nodiscard]] bool KeepAlive() const { return mParser.keep_alive(); }
  [[nodiscard]] std::size_t BodyBytes() const
  {
    return mParser.get().body().size();
  }
  /// @return about the memory that the message takes, in bytes
  [[nodiscard]] std::size_t MemoryBytes() const;

private:
  /// Counts bytes that the parser has taken, and checks them.
  /// @param aInput what the parser was given
  /// @param aTaken how many bytes of it the parser has taken
  /// @param aBodyBytes how many of those are of the body
  void Count(std::string_view aInput,
             std::size_t aTaken,
             std::size_t aBodyBytes,
             bool aInHead);
  /// Checks bytes that the parser leaves until further ones arrive.
  void CheckLeft(std::string_view aLeft);
  /// Searches what was not searched before.
  /// @param aFrom where the search begins at the earliest
  /// @return position after the text, or npos
  [[nodiscard]] std::size_t FindEnd(std::string_view aInput,
                                    std::string_view aText,
                                    std::size_t aFrom) const;

  MessageLimits mLimits;
  boost::beast::http::parser<kIsRequest, GrowingBody> mParser;
  std::optional<MessageFault> mFault;
  std::size_t mHeadBytes = 0;      ///< Taken for the head so far.
  std::size_t mFieldLines = 0;     ///< Lines of the head and the trailers.
  std::uint64_t mFramingBytes = 0; ///< Taken for chunk headers so far.
  std::size_t mSearchedBytes = 0;  ///< Of the bytes that were left.
  std::size_t mTrailerBegin = 0;   ///< In the bytes left; 0: not reached.
};

extern template class MessageReader<true>;
extern template class MessageReader<false>;

using RequestReader = MessageReader<true>;
using AnswerReader = MessageReader<false>;

} // namespace paddle
