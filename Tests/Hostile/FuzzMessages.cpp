// Feeds mutated requests, in random pieces, to MessageReader and, over the
// loopback interface, to AsyncHttpServer. Run by hand:
//   fuzz-messages SECONDS SEED
// It reports inputs whose outcome depends on how they are split, or which are
// kept beyond the limits, and aborts if the server does not answer any more.
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include <LibAsyncHttp/HttpServer.h>
#include <LibAsyncHttp/MessageReader.h>
#include <LibTime/BootClock.h>

#include <boost/asio/ip/tcp.hpp>

using namespace paddle;
using boost::asio::ip::tcp;

namespace {

constexpr MessageLimits kLimits{ 512, 2048 };
/// A field of 4 bytes takes 96 bytes more in the parser; bodies grow by
/// doubling.
constexpr std::size_t kMostBytes =
  (kLimits.mHeadBytes + kStartLineBytes + 8192) * 25 + 3 * kLimits.mBodyBytes;
/// Every so many inputs are sent to the server, too.
constexpr std::uint64_t kServerInterval = 50;

using Random = std::mt19937_64;

std::size_t
Below(Random& aRandom, std::size_t aLimit)
{
  return static_cast<std::size_t>(aRandom() % aLimit);
}

std::vector<std::string>
Seeds()
{
  const std::string chunked = "POST /p/0123456789abcdef HTTP/1.1\r\nHost: h\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n";
  std::string fields;
  for (int i = 0; i < 60; ++i) {
    fields += "name-" + std::to_string(i) + ": value\r\n";
  }
  return {
    "GET /p/ HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /p/ HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n",
    "POST /p/ HTTP/1.1\r\nContent-Length: 11\r\n\r\nhello world",
    "POST /p/ HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\nhello",
    "POST /p/ HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na",
    chunked + "5\r\nhello\r\n6;a=b\r\n world\r\n0\r\n\r\n",
    chunked + "1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0\r\nA: b\r\nC: d\r\n\r\n",
    chunked + "0\r\n" + fields + "\r\n",
    chunked + "0;" + std::string(300, 'e') + "\r\n" + fields + "\r\n",
    chunked + "5;a=" + std::string(5000, 'e') + "\r\nhello\r\n0\r\n\r\n",
    chunked + "7ff\r\n" + std::string(2047, 'b') + "\r\n0\r\n\r\n",
    "GET / HTTP/1.1\r\nA: b\r\n c\r\n\td\r\nConnection: close, x\r\n\r\n",
  };
}

/// Changes, repeats, removes and joins parts of the seeds.
std::string
Mutate(Random& aRandom, const std::vector<std::string>& aSeeds)
{
  const std::vector<std::string> tokens = { "\r\n",
                                            "\r",
                                            "\n",
                                            "\r\n\r\n",
                                            "0\r\n",
                                            "0",
                                            ":",
                                            ";",
                                            "=",
                                            "\"",
                                            "\\",
                                            " ",
                                            "\t",
                                            "ffffffffff",
                                            "7fffffff",
                                            "1\r\na\r\n",
                                            std::string(1, '\0'),
                                            "a: b\r\n",
                                            "chunked",
                                            "Content-Length: 5\r\n",
                                            "Transfer-Encoding: chunked\r\n" };
  std::string text = aSeeds[Below(aRandom, aSeeds.size())];
  const std::size_t changes = Below(aRandom, 6);
  for (std::size_t i = 0; i < changes; ++i) {
    const std::size_t at = Below(aRandom, text.size() + 1);
    const std::size_t count =
      Below(aRandom, std::min<std::size_t>(40, text.size() - at + 1) + 1);
    switch (Below(aRandom, 6)) {
      case 0:
        if (at < text.size()) {
          text[at] = static_cast<char>(aRandom());
        }
        break;
      case 1:
        text.insert(at, tokens[Below(aRandom, tokens.size())]);
        break;
      case 2:
        text.erase(at, count);
        break;
      case 3: {
        const std::string part = text.substr(at, count);
        for (std::size_t n = Below(aRandom, 200); n > 0; --n) {
          text.insert(at, part);
        }
        break;
      }
      case 4:
        text.resize(at);
        break;
      default:
        text += aSeeds[Below(aRandom, aSeeds.size())];
    }
  }
  return text;
}

struct Result
{
  bool mComplete = false;
  bool mFaulty = false;
  std::string mBody;
  std::size_t mTaken = 0;
  std::size_t mMostBytes = 0;
};

/// @param aNextPiece returns the size of the next piece
template<typename NextPiece>
Result
Read(const std::string& aInput, NextPiece aNextPiece)
{
  RequestReader reader(kLimits);
  Result result;
  std::string left;
  for (std::size_t i = 0;
       i < aInput.size() && !reader.Complete() && !reader.Fault();) {
    const std::size_t piece = aNextPiece();
    left += aInput.substr(i, piece);
    i += piece;
    const std::size_t taken = reader.Take(left);
    left.erase(0, taken);
    result.mTaken += taken;
    result.mMostBytes =
      std::max(result.mMostBytes, left.size() + reader.MemoryBytes());
  }
  result.mFaulty = reader.Fault().has_value();
  result.mComplete = reader.Complete() && !result.mFaulty;
  result.mBody = reader.Content().body();
  return result;
}

/// A server on a loop of its own, to which inputs are sent.
class ServerUnderTest
{
public:
  ServerUnderTest()
  {
    const tcp::acceptor free(
      mLoop, { boost::asio::ip::make_address("127.0.0.22"), 0 });
    mEndpoint = free.local_endpoint();
  }

  bool Listen()
  {
    return Succeeded(mServer.Listen(mEndpoint.address().to_string() + ":" +
                                    std::to_string(mEndpoint.port())));
  }

  /// Sends an input in random pieces, then an ordinary request on another
  /// connection.
  /// @return whether the ordinary one was answered
  bool Send(Random& aRandom, const std::string& aInput)
  {
    tcp::socket client(mLoop);
    client.connect(mEndpoint);
    client.non_blocking(true);
    boost::system::error_code ignored;
    for (std::size_t i = 0; i < aInput.size();) {
      const std::size_t piece = 1 + Below(aRandom, 5000);
      client.write_some(boost::asio::buffer(aInput.substr(i, piece)), ignored);
      i += piece;
      mLoop.poll();
    }
    tcp::socket ordinary(mLoop);
    ordinary.connect(mEndpoint);
    ordinary.non_blocking(true);
    const std::string text = "GET /ordinary HTTP/1.1\r\nHost: h\r\n\r\n";
    ordinary.write_some(boost::asio::buffer(text), ignored);
    mAnswered = false;
    for (int i = 0; i < 1000 && !mAnswered; ++i) {
      mLoop.run_one_for(Millis(10));
      mDeadlines.Expire(BootTime());
    }
    client.close();
    ordinary.close();
    mLoop.poll();
    return mAnswered && mBudget->Connections() < 100;
  }

private:
  boost::asio::io_context mLoop{ 1 };
  Deadlines mDeadlines;
  std::shared_ptr<ConnectionBudget> mBudget =
    std::make_shared<ConnectionBudget>(BudgetLimits{ kMinBudgetBytes, 100 });
  AsyncHttpServer mServer{ mLoop,
                           mDeadlines,
                           { 512, 2048, Millis(300), Millis(300) },
                           [this](const HttpIncomingRequest& aRequest,
                                  const ReplyHandler& aReply) {
                             mAnswered =
                               mAnswered || aRequest.mTarget == "/ordinary";
                             aReply({ 200, "text/plain", aRequest.mBody, {} });
                           },
                           mBudget };
  tcp::endpoint mEndpoint;
  bool mAnswered = false;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::fprintf(stderr, "usage: fuzz-messages SECONDS SEED\n");
    return 2;
  }
  Random random(std::strtoull(aArguments[2], nullptr, 10));
  const MonotonicTime end = BootTime() + Seconds(std::atoi(aArguments[1]));
  const std::vector<std::string> seeds = Seeds();
  ServerUnderTest server;
  if (!server.Listen()) {
    return 1;
  }
  std::uint64_t inputs = 0;
  std::uint64_t complete = 0;
  std::uint64_t faulty = 0;
  std::uint64_t findings = 0;
  for (; BootTime() < end; ++inputs) {
    const std::string input = Mutate(random, seeds);
    const Result whole = Read(input, [&] { return input.size(); });
    const std::size_t longest = 1 + Below(random, 300);
    const Result pieces =
      Read(input, [&] { return 1 + Below(random, longest); });
    complete += whole.mComplete ? 1 : 0;
    faulty += whole.mFaulty ? 1 : 0;
    if (whole.mComplete != pieces.mComplete ||
        (whole.mComplete &&
         (whole.mBody != pieces.mBody || whole.mTaken != pieces.mTaken)) ||
        pieces.mMostBytes > kMostBytes) {
      ++findings;
      std::printf("finding in input %llu: complete %d and %d, bytes %zu\n%s\n",
                  static_cast<unsigned long long>(inputs),
                  whole.mComplete,
                  pieces.mComplete,
                  pieces.mMostBytes,
                  input.c_str());
    }
    if (inputs % kServerInterval == 0 && !server.Send(random, input)) {
      std::printf("no answer after input %llu\n%s\n",
                  static_cast<unsigned long long>(inputs),
                  input.c_str());
      std::abort();
    }
  }
  std::printf("%llu inputs, %llu complete, %llu faulty, %llu findings\n",
              static_cast<unsigned long long>(inputs),
              static_cast<unsigned long long>(complete),
              static_cast<unsigned long long>(faulty),
              static_cast<unsigned long long>(findings));
  return findings == 0 ? 0 : 1;
}
