#include "ScriptedRunner.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace paddle {

ScriptedRunner::ScriptedRunner(std::uint16_t aPort, Script aScript)
  : mScript(std::move(aScript))
  , mListener(socket(AF_INET, SOCK_STREAM, 0))
{
  const int on = 1;
  setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  CHECK_EQUAL(
    0, bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof address));
  CHECK_EQUAL(0, listen(mListener, 64));
  mThread = std::thread([this] { Accept(); });
}

ScriptedRunner::~ScriptedRunner()
{
  shutdown(mListener, SHUT_RDWR);
  mThread.join();
  close(mListener);
  for (std::thread& connection : mConnections) {
    connection.join();
  }
}

void
ScriptedRunner::Accept()
{
  for (;;) {
    const int connection = accept(mListener, nullptr, nullptr);
    if (connection < 0) {
      return;
    }
    mConnections.emplace_back([this, connection] { Serve(connection); });
  }
}

void
ScriptedRunner::Serve(int aConnection)
{
  std::string request;
  char buffer[4096];
  while (request.find("\r\n\r\n") == std::string::npos) {
    const ssize_t count = read(aConnection, buffer, sizeof buffer);
    if (count <= 0) {
      close(aConnection);
      return;
    }
    request.append(buffer, static_cast<std::size_t>(count));
  }
  const bool probe = request.starts_with("GET /health ");
  ++(probe ? mProbes : mArrivals);
  const std::string answer = mScript(request);
  if (!answer.empty()) {
    CHECK_EQUAL(static_cast<ssize_t>(answer.size()),
                send(aConnection, answer.data(), answer.size(), MSG_NOSIGNAL));
  }
  close(aConnection);
}

std::string
HeaderOf(const std::string& aRequest, const std::string& aName)
{
  const std::size_t at = aRequest.find("\r\n" + aName + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + 4 + aName.size();
  return aRequest.substr(begin, aRequest.find("\r\n", begin) - begin);
}

std::string
AnswerTo(const std::string& aRequest, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nConnection: close\r\nPaddle-Request-Id: " +
         HeaderOf(aRequest, "Paddle-Request-Id") +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

} // namespace paddle
