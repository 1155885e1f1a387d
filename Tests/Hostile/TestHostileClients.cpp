#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "Crowd.h"
#include "NodeProcess.h"
#include "Store.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

/// A fifth of the memory of the smallest host. Clients may take an eighth of a
/// machine's memory, so that the bound leaves room for the program itself.
constexpr std::size_t kMemoryMb = 32;
constexpr std::size_t kBytesPerMb = 1024UL * 1024;
/// The connections of the smallest host, 2000, become a crowd of this size,
/// which sends twice the memory of the machine.
constexpr std::size_t kClients = 32;
constexpr std::size_t kBytesPerClient = 2 * kMemoryMb * kBytesPerMb / kClients;
/// Size of the blocks in which the clients send.
constexpr std::size_t kBlockBytes = 4096;
/// An answered request in calm: no job has this id.
constexpr const char* kOrdinaryTarget = "/p/0123456789abcdef";
constexpr int kOrdinaryStatus = 410;

const std::string kConfiguration =
  R"({"version":7,"routes":[{"name":"q","host":"h","path_prefix":"/p/",)"
  R"("service":"s"}],"limits":{"max_header_bytes":16384,)"
  R"("max_body_bytes":262144,"header_timeout_ms":3000,)"
  R"("idle_timeout_ms":15000}})";

const std::string kChunkedHead = "POST /p/0123456789abcdef HTTP/1.1\r\nHost: h"
                                 "\r\nTransfer-Encoding: chunked\r\n\r\n";

/// @return a function that returns the same block each time
auto
Repeat(const std::string& aText)
{
  std::string block;
  while (block.size() + aText.size() <= kBlockBytes) {
    block += aText;
  }
  return [block](std::size_t, std::size_t) { return block; };
}

/// @return a header field of exactly @p aBytes
std::string
Field(std::size_t aBytes)
{
  const std::string name = "a: ";
  return name + std::string(aBytes - name.size() - 2, 'b') + "\r\n";
}

} // namespace

TEST_GROUP(HostileClients)
{
  std::unique_ptr<Store> mStore;
  std::unique_ptr<NodeProcess> mNode;
  Machine mMachine{ kMemoryMb, 4100 };

  /// Starts the node and waits until it serves clients.
  void Start()
  {
    mStore = std::make_unique<Store>(kConfiguration);
    mNode = std::make_unique<NodeProcess>(mMachine, mStore->Port());
    while (mNode->Lives() &&
           StatusOfRequest(mNode->ClientPort(), kOrdinaryTarget) !=
             kOrdinaryStatus) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }

  void teardown() override
  {
    mNode.reset();
    mStore.reset();
  }

  void Check()
  {
    mNode->WaitUntilCalm();
    CHECK_TRUE_TEXT(mNode->Lives(), "the process has ended");
    const std::size_t memory = mNode->PeakMemoryKb();
    const std::size_t descriptors = mNode->OpenDescriptors();
    UT_PRINT(StringFromFormat("%zu KB, %zu descriptors", memory, descriptors));
    CHECK_TRUE_TEXT(memory <= mMachine.mMemoryMb * 1024,
                    "the process has taken more than the machine's memory");
    CHECK_TRUE_TEXT(descriptors <= mMachine.mDescriptors,
                    "the process has more descriptors than the machine");
    LONGS_EQUAL(kOrdinaryStatus,
                StatusOfRequest(mNode->ClientPort(), kOrdinaryTarget));
  }

  /// Lets the crowd send its input, and checks the process while the crowd's
  /// connections are open, and once they are closed.
  void CheckAgainst(const HostileInput& aInput, std::size_t aClients = kClients)
  {
    if (!mNode) {
      Start();
    }
    {
      Crowd crowd(mNode->ClientPort(), aClients);
      crowd.Send(aInput);
      Check();
    }
    Check();
  }
};

// Guards against trailers without end, which were buffered as a whole.
TEST(HostileClients, SendTrailersWithoutEnd)
{
  CheckAgainst({ kChunkedHead + "0\r\n", Repeat(Field(64)), kBytesPerClient });
}

// Guards against a trailer field that is longer than the parser's type for
// lengths. Its exception ended the process.
TEST(HostileClients, SendATrailerFieldOfExcessiveLength)
{
  CheckAgainst({ kChunkedHead + "0\r\n" + Field(100'000) + "\r\n", {}, 0 });
}

// Guards against an extension of a chunk without end.
TEST(HostileClients, SendAChunkExtensionWithoutEnd)
{
  CheckAgainst({ kChunkedHead + "5;a=", Repeat("b"), kBytesPerClient });
}

// Guards against a header field without end.
TEST(HostileClients, SendAHeaderFieldWithoutEnd)
{
  CheckAgainst(
    { "GET /p/ HTTP/1.1\r\nHost: h\r\na: ", Repeat("b"), kBytesPerClient });
}

// Guards against header fields without end, of which each block that arrives
// has whole ones.
TEST(HostileClients, SendHeaderFieldsWithoutEnd)
{
  CheckAgainst({ "GET /p/ HTTP/1.1\r\nHost: h\r\n" + Field(kBlockBytes - 27),
                 Repeat(Field(64)),
                 kBytesPerClient });
}

// Guards against input that is buffered while a request is being handled.
TEST(HostileClients, PipelineRequestsWhileAReplyIsPending)
{
  Start();
  mStore->HoldJobStates();
  Crowd crowd(mNode->ClientPort(), kClients);
  crowd.Send({ "",
               [](std::size_t, std::size_t) {
                 return "GET /p/00000000000000aa?" +
                        std::string(kBlockBytes, 'b') +
                        " HTTP/1.1\r\nHost: h\r\n\r\n";
               },
               kBytesPerClient });
  mStore->ReleaseJobStates();
  Check();
}

// Guards against answers, and requests behind them, that pile up because the
// client does not read.
TEST(HostileClients, ReadNoReplies)
{
  CheckAgainst(
    { "", Repeat("GET /p/ HTTP/1.1\r\nHost: h\r\n\r\n"), kBytesPerClient });
}

// Guards against bodies within the limit for one request that exceed the
// machine's memory together, since none of them is complete.
TEST(HostileClients, SendManyLargeBodiesThatAreNotComplete)
{
  constexpr std::size_t kBodyBytes = 262'144;
  CheckAgainst({ "POST /p/0123456789abcdef HTTP/1.1\r\nHost: h\r\n"
                 "Content-Length: 262144\r\n\r\n",
                 Repeat("b"),
                 kBodyBytes - kBlockBytes },
               kMemoryMb * kBytesPerMb / kBodyBytes);
}

// Guards against memory that is reserved for a body that is only announced.
TEST(HostileClients, AnnounceABodyOfExcessiveLength)
{
  CheckAgainst({ "POST /p/0123456789abcdef HTTP/1.1\r\nHost: h\r\n"
                 "Content-Length: 999999999999999999\r\n\r\n",
                 Repeat("b"),
                 kBytesPerClient });
}

// Guards against work and memory for each chunk of a body.
TEST(HostileClients, SendChunksOfOneByte)
{
  CheckAgainst({ kChunkedHead, Repeat("1\r\na\r\n"), kBytesPerClient });
}

// Guards against chunks whose extensions are the most part of the input.
TEST(HostileClients, SendChunksOfOneByteWithLongExtensions)
{
  CheckAgainst({ kChunkedHead,
                 Repeat("1;a=" + std::string(1000, 'b') + "\r\na\r\n"),
                 kBytesPerClient });
}

// Guards against a metric for each method that a client invents.
TEST(HostileClients, InventMethods)
{
  CheckAgainst({ "",
                 [](std::size_t aClient, std::size_t aBlock) {
                   return std::string(8192, 'A') + std::to_string(aClient) +
                          "X" + std::to_string(aBlock) +
                          " /p/ HTTP/1.1\r\nHost: h\r\n\r\n";
                 },
                 kBytesPerClient });
}

// Guards against idle connections that take the descriptors which the node
// needs for runners and for the store.
TEST(HostileClients, OpenManyConnections)
{
  mMachine.mDescriptors = 96;
  CheckAgainst({}, 2 * mMachine.mDescriptors);
}

// Guards against a node that one crowd after the other leaves in a worse state.
TEST(HostileClients, SendTrailersWithoutEndAgainAndAgain)
{
  for (int i = 0; i < 3; ++i) {
    CheckAgainst(
      { kChunkedHead + "0\r\n", Repeat(Field(64)), kBytesPerClient });
  }
}

// Guards against refusals that nobody sees.
TEST(HostileClients, AppearInTheLog)
{
  CheckAgainst({ kChunkedHead + "0\r\n", Repeat(Field(64)), kBytesPerClient });
  while (mNode->Log().find("event=callers_refused head_too_long=") ==
         std::string::npos) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

namespace {

/// What a peer sends at most instead of one answer.
constexpr std::size_t kAnswerBytes = 2 * kMemoryMb * kBytesPerMb;

} // namespace

TEST_GROUP_BASE(HostileStore, TEST_GROUP_CppUTestGroupHostileClients){
  /// Lets the store send these instead of some answers, and checks the process
  /// once it has.
  void CheckAgainstAnswers(const std::string& aHead,
                           const std::string& aText){ Start();
mStore->AnswerRunnerReads({ aHead, Repeat(aText)(0, 0), kAnswerBytes });
while (mNode->Lives() && mStore->HostileAnswers() < 2) {
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
}
Check();
}
}
;

// Guards against an answer of a peer whose trailers don't end.
TEST(HostileStore, SendsTrailersWithoutEnd)
{
  CheckAgainstAnswers(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", Field(64));
}

// Guards against an answer of a peer whose header fields don't end.
TEST(HostileStore, SendsHeaderFieldsWithoutEnd)
{
  CheckAgainstAnswers("HTTP/1.1 200 OK\r\n" + Field(kBlockBytes - 17),
                      Field(64));
}

// Guards against an answer of a peer with a body without end.
TEST(HostileStore, SendsABodyWithoutEnd)
{
  CheckAgainstAnswers("HTTP/1.1 200 OK\r\n\r\n", "b");
}
