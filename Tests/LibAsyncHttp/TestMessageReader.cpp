#include <LibAsyncHttp/MessageReader.h>

#include <string>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr MessageLimits kLimits{ 1000, 5000 };

const std::string kHead = "POST / HTTP/1.1\r\nHost: a\r\n";
const std::string kChunked =
  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What came of input that arrived in pieces.
struct Outcome
{
  bool mComplete = false;
  std::optional<MessageFault> mFault;
  std::string mBody;
  std::string mLeft; ///< Not taken.
  /// Most bytes that had to be kept for the message, with those not taken.
  std::size_t mMostBytes = 0;
};

/// Lets a reader take the input in pieces of a size.
Outcome
ReadInPieces(const std::string& aInput, std::size_t aPieceBytes)
{
  RequestReader reader(kLimits);
  Outcome outcome;
  for (std::size_t i = 0;
       i < aInput.size() && !reader.Complete() && !reader.Fault();
       i += aPieceBytes) {
    outcome.mLeft += aInput.substr(i, aPieceBytes);
    outcome.mLeft.erase(0, reader.Take(outcome.mLeft));
    outcome.mMostBytes =
      std::max(outcome.mMostBytes, outcome.mLeft.size() + reader.MemoryBytes());
  }
  outcome.mComplete = reader.Complete() && !reader.Fault();
  outcome.mFault = reader.Fault();
  outcome.mBody = reader.Content().body();
  return outcome;
}

/// Checks that the input is a whole message, however it is split.
void
CheckBody(const std::string& aInput, const std::string& aBody)
{
  for (const std::size_t piece : { 1, 2, 3, 7, 100, 4096, 100'000 }) {
    const Outcome outcome = ReadInPieces(aInput, piece);
    CHECK_TRUE(outcome.mComplete);
    STRCMP_EQUAL(aBody.c_str(), outcome.mBody.c_str());
  }
}

/// Checks that the input is not accepted, however it is split, and that little
/// of it is kept.
void
CheckFault(const std::string& aInput, MessageFault aFault)
{
  // A field of 6 bytes takes 96 bytes more in the parser. A piece may be taken
  // before it is checked.
  constexpr std::size_t kMostBytes =
    (kLimits.mHeadBytes + kStartLineBytes + 4096) * 102 / 6 + 4096;
  for (const std::size_t piece : { 1, 2, 3, 7, 100, 4096 }) {
    const Outcome outcome = ReadInPieces(aInput, piece);
    CHECK_FALSE(outcome.mComplete);
    CHECK_TRUE(outcome.mFault == aFault);
    CHECK_TRUE(outcome.mMostBytes < kMostBytes);
  }
}

std::string
Repeat(const std::string& aText, std::size_t aBytes)
{
  std::string text;
  while (text.size() < aBytes) {
    text += aText;
  }
  return text;
}

} // namespace

TEST_GROUP(MessageReader){};

// Guards against requests within the limits that are refused, or wait for bytes
// that never come, because of how they were split.
TEST(MessageReader, TakesWholeRequestsHoweverTheyAreSplit)
{
  const std::string body(5000, 'b');
  CheckBody(kHead + "\r\n", "");
  CheckBody(kHead + "Content-Length: 5000\r\n\r\n" + body, body);
  CheckBody(kChunked + "1388\r\n" + body + "\r\n0\r\n\r\n", body);
  CheckBody(kChunked +
              "5;a=b;c=\"d\"\r\nhello\r\n1\r\n!\r\n0;e\r\nF: g\r\n\r\n",
            "hello!");
  CheckBody(kChunked + "0\r\n\r\n", "");
  // Just within the limits.
  CheckBody(kHead + "A: " + std::string(960, 'a') + "\r\n\r\n", "");
  CheckBody(
    kChunked + "1\r\na\r\n0\r\nA: " + std::string(990, 'a') + "\r\n\r\n", "a");
  std::string chunks;
  for (int i = 0; i < 312; ++i) {
    chunks += "10\r\n" + std::string(16, 'b') + "\r\n";
  }
  CheckBody(kChunked + chunks + "0\r\n\r\n", std::string(4992, 'b'));
}

// Guards against bytes of the next request that are taken for the first one.
TEST(MessageReader, LeavesTheNextRequest)
{
  const std::string next = kHead + "\r\n";
  for (const std::string& request :
       { kHead + "\r\n", kChunked + "1\r\na\r\n0\r\nA: b\r\n\r\n" }) {
    const Outcome outcome = ReadInPieces(request + next, 100'000);
    CHECK_TRUE(outcome.mComplete);
    STRCMP_EQUAL(next.c_str(), outcome.mLeft.c_str());
  }
}

// Guards against heads, trailers and chunk headers that are kept without a
// bound.
TEST(MessageReader, RefusesWhatDoesNotEnd)
{
  const std::string fields = Repeat("a: b\r\n", 100'000);
  CheckFault(kHead + fields, MessageFault::HeadTooLong);
  CheckFault(kHead + "a: " + std::string(100'000, 'b'),
             MessageFault::HeadTooLong);
  CheckFault("GET /" + std::string(100'000, 'b'), MessageFault::HeadTooLong);
  CheckFault(kChunked + "0\r\n" + fields, MessageFault::HeadTooLong);
  CheckFault(kChunked + "1\r\na\r\n0\r\n" + fields, MessageFault::HeadTooLong);
  CheckFault(kChunked + "5;a=" + std::string(100'000, 'b'),
             MessageFault::FramingTooLong);
  CheckFault(kChunked + "1\r\na\r\n0;a=" + std::string(100'000, 'b'),
             MessageFault::FramingTooLong);
}

// Guards against limits that input escapes by arriving as a whole.
TEST(MessageReader, RefusesWhatIsTooLongAlthoughItEnds)
{
  const std::string fields = Repeat("a: b\r\n", 6000);
  const std::string extension = ";a=" + std::string(5000, 'b') + "\r\n";
  const std::pair<std::string, MessageFault> messages[] = {
    { kHead + fields + "\r\n", MessageFault::HeadTooLong },
    { kChunked + "0\r\n" + fields + "\r\n", MessageFault::HeadTooLong },
    { kChunked + "1" + extension + "a\r\n0\r\n\r\n",
      MessageFault::FramingTooLong },
    { kChunked + "0" + extension + "\r\n", MessageFault::FramingTooLong }
  };
  for (const auto& [message, fault] : messages) {
    for (const std::size_t piece : { 1, 1000, 100'000 }) {
      CHECK_TRUE(ReadInPieces(message, piece).mFault == fault);
    }
  }
}

// Guards against chunks that are hardly more than headers.
TEST(MessageReader, RefusesChunksWithMuchMoreHeadersThanBody)
{
  CheckFault(kChunked +
               Repeat("1;a=" + std::string(100, 'b') + "\r\na\r\n", 100'000),
             MessageFault::FramingTooLong);
  const Outcome outcome =
    ReadInPieces(kChunked + Repeat("1\r\na\r\n", 30'000) + "0\r\n\r\n", 4096);
  CHECK_TRUE(outcome.mComplete);
  LONGS_EQUAL(5000, outcome.mBody.size());
}

// Guards against bodies beyond the limit, and memory for announced ones.
TEST(MessageReader, RefusesBodiesBeyondTheLimit)
{
  CheckFault(kHead + "Content-Length: 5001\r\n\r\n", MessageFault::BodyTooLong);
  CheckFault(kHead + "Content-Length: 99999999999999\r\n\r\n",
             MessageFault::BodyTooLong);
  CheckFault(kChunked + "1389\r\n", MessageFault::BodyTooLong);
  CheckFault(kChunked + "1\r\na\r\n1388\r\n", MessageFault::BodyTooLong);
  RequestReader reader({ 1000, 1UL << 30 });
  const std::string head = kHead + "Content-Length: 1000000000\r\n\r\nabc";
  LONGS_EQUAL(head.size(), reader.Take(head));
  CHECK_TRUE(reader.MemoryBytes() < 10'000);
}

// Guards against an exception of the parser, whose lengths have 16 bits, if the
// limits allow longer fields.
TEST(MessageReader, AFieldBeyondTheParsersRangeIsAFault)
{
  RequestReader reader({ 1UL << 20, 5000 });
  reader.Take(kHead + "a: " + std::string(100'000, 'b') + "\r\n\r\n");
  CHECK_TRUE(reader.Fault() == MessageFault::HeadTooLong);
}
