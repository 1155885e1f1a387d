#pragma once

// Boost 1.74's coroutine support needs <utility> before Asio.
#include <utility>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace paddle {

/// A server on the loopback address that sends exactly the bytes that a test
/// tells it to, for answers that are repeated, late, or not whole.
class ScriptedPeer
{
public:
  /// @param aOnRequest called with each request and the number of its
  ///                   connection, counted from 0
  ScriptedPeer(boost::asio::io_context& aLoop,
               std::function<void(const std::string& aRequest,
                                  std::size_t aConnection)> aOnRequest)
    : mLoop(aLoop)
    , mAcceptor(aLoop, { boost::asio::ip::address_v4::loopback(), 0 })
    , mOnRequest(std::move(aOnRequest))
  {
    Accept();
  }

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  /// @return the number of connections accepted so far
  [[nodiscard]] std::size_t Connections() const { return mConnections.size(); }

  /// Sends bytes on a connection.
  void Send(std::size_t aConnection, std::string_view aBytes)
  {
    boost::system::error_code ignored; // The client may have closed it.
    boost::asio::write(
      mConnections[aConnection]->mSocket, boost::asio::buffer(aBytes), ignored);
  }

  void Close(std::size_t aConnection)
  {
    boost::system::error_code ignored;
    mConnections[aConnection]->mSocket.close(ignored);
  }

  /// @param aHeader further header fields, each with its line end
  /// @return a whole answer
  static std::string Answer(std::string_view aBody,
                            std::string_view aStatus = "200 OK",
                            std::string_view aHeader = {})
  {
    return "HTTP/1.1 " + std::string(aStatus) + "\r\n" + std::string(aHeader) +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           std::string(aBody);
  }

private:
  struct Connection
  {
    explicit Connection(boost::asio::io_context& aLoop)
      : mSocket(aLoop)
    {
    }
    boost::asio::ip::tcp::socket mSocket;
    std::array<char, 4096> mBuffer{};
    std::string mIncoming;
  };

  void Accept()
  {
    auto connection = std::make_shared<Connection>(mLoop);
    mAcceptor.async_accept(
      connection->mSocket,
      [this, connection](boost::system::error_code aError) {
        if (!aError) {
          mConnections.push_back(connection);
          Read(mConnections.size() - 1);
          Accept();
        }
      });
  }

  void Read(std::size_t aIndex)
  {
    const std::shared_ptr<Connection> connection = mConnections[aIndex];
    connection->mSocket.async_read_some(
      boost::asio::buffer(connection->mBuffer),
      [this, aIndex, connection](boost::system::error_code aError,
                                 std::size_t aCount) {
        if (aError) {
          return;
        }
        connection->mIncoming.append(connection->mBuffer.data(), aCount);
        const std::size_t headEnd = connection->mIncoming.find("\r\n\r\n");
        const std::size_t length =
          connection->mIncoming.find("Content-Length: ");
        if (headEnd != std::string::npos && length < headEnd &&
            connection->mIncoming.size() >=
              headEnd + 4 +
                std::stoul(connection->mIncoming.substr(length + 16))) {
          mOnRequest(std::exchange(connection->mIncoming, {}), aIndex);
        }
        Read(aIndex);
      });
  }

  boost::asio::io_context& mLoop;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::function<void(const std::string&, std::size_t)> mOnRequest;
  std::vector<std::shared_ptr<Connection>> mConnections;
};

} // namespace paddle
