#include <LibHttp/HttpServer.h>

#include <arpa/inet.h>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr std::uint16_t kPort = 17312;
/// Longest wait for a byte, or for the kernel to take one. It only ends a test
/// that fails.
constexpr timeval kWait{ 10, 0 };

/// A connection to the server under test.
class Client
{
public:
  Client()
    : mSocket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)::connect(
      mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    ::setsockopt(mSocket, SOL_SOCKET, SO_RCVTIMEO, &kWait, sizeof kWait);
    ::setsockopt(mSocket, SOL_SOCKET, SO_SNDTIMEO, &kWait, sizeof kWait);
  }
  ~Client() { ::close(mSocket); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// @return whether the kernel has taken all of the text, since the server has
  ///         not closed the connection
  [[nodiscard]] bool Send(const std::string& aText) const
  {
    std::size_t sent = 0;
    while (sent < aText.size()) {
      const ssize_t count =
        ::send(mSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// @return the status of the next answer, 0 if there is none
  [[nodiscard]] int Status() const
  {
    char buffer[4096];
    const ssize_t count = ::recv(mSocket, buffer, sizeof buffer, 0);
    return count < 12 ? 0 : std::stoi(std::string(buffer + 9, 3));
  }

private:
  int mSocket;
};

std::string
Post(std::size_t aLength)
{
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(aLength) + "\r\n\r\n";
}

} // namespace

TEST_GROUP(HttpServerLimits)
{
  std::unique_ptr<HttpServer> mServer;

  void setup() override
  {
    HttpServerSettings settings;
    settings.mListen = { { "127.0.0.1", kPort } };
    settings.mMaxBodyBytes = 100'000;
    settings.mMaxBodiesBytes = 150'000;
    auto server = HttpServer::Start(
      settings, [](const HttpRequest&) { return HttpReply{}; });
    CHECK_TRUE(Succeeded(server));
    mServer = std::move(ValueOf(server));
  }

  void teardown() override
  {
    mServer.reset();
  }

  /// Sends requests until one is answered with another status than this.
  /// @return the status of the last one
  static int StatusOtherThan(int aStatus)
  {
    constexpr int kMaxRequests = 2000;
    int status = aStatus;
    for (int i = 0; status == aStatus && i < kMaxRequests; ++i) {
      const Client client;
      CHECK_TRUE(client.Send(Post(90'000) + std::string(90'000, 'b')));
      status = client.Status();
    }
    return status;
  }

  /// Checks that the server does not take input without end.
  void CheckEndsConnection(const std::string& aHead)
  {
    // Far more than the kernel buffers for a connection, 10 MB.
    constexpr std::size_t kBytes = 32UL << 20;
    const Client client;
    const std::string block(65536, 'b');
    bool open = client.Send(aHead);
    for (std::size_t i = 0; open && i < kBytes; i += block.size()) {
      open = client.Send(block);
    }
    CHECK_FALSE(open);
  }
};

// Guards against bodies that are buffered without a bound.
TEST(HttpServerLimits, RefusesABodyBeyondTheLimit)
{
  const Client client;
  CHECK_TRUE(client.Send(Post(100'000) + std::string(100'000, 'b')));
  LONGS_EQUAL(200, client.Status());
  const Client other;
  CHECK_TRUE(other.Send(Post(100'001) + std::string(100'001, 'b')));
  LONGS_EQUAL(413, other.Status());
}

// Guards against bodies that together take the host's memory, and against a
// place that a broken connection keeps.
TEST(HttpServerLimits, RefusesABodyBeyondThoseOfAllRequests)
{
  {
    const Client first;
    CHECK_TRUE(first.Send(Post(100'000) + std::string(99'000, 'b')));
    // Until the server has read the first body, others are taken.
    LONGS_EQUAL(503, StatusOtherThan(200));
  }
  LONGS_EQUAL(200, StatusOtherThan(503));
}

// Guards against a request line that is buffered without a bound.
TEST(HttpServerLimits, EndsARequestLineWithoutEnd)
{
  CheckEndsConnection("GET /");
}

// Guards against a header field that is buffered without a bound.
TEST(HttpServerLimits, EndsAHeaderFieldWithoutEnd)
{
  CheckEndsConnection("GET / HTTP/1.1\r\nHost: h\r\na: ");
}
