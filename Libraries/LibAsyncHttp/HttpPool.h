#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <LibAsyncHttp/Deadlines.h>
#include <LibAsyncHttp/HttpTypes.h>

namespace paddle {

/// A pool of persistent HTTP/1.1 connections from one event loop to one peer. A
/// connection is used again only after an answer that is certainly the call's
/// own, see AnswerOrigin. It never sends a request twice, because only the
/// caller knows whether a request may be repeated.
class HttpPool
{
public:
  /// @param aAddress IPv4 address and port, "10.0.0.1:80"
  /// @param aMaxConnections most connections at the same time; further calls
  ///                        wait for one of them
  /// @param aMaxIdleTime    a connection that has not been heard for longer is
  ///                        closed instead of used again
  HttpPool(boost::asio::io_context& aLoop,
           Deadlines& aDeadlines,
           std::string aAddress,
           std::size_t aMaxConnections,
           Millis aMaxIdleTime = Millis::max());
  ~HttpPool();
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;

  /// Sends a request on a free connection, or as soon as one is free.
  /// @param aDone called once with the answer or the failure, never from within
  ///              this function; not called if the pool is destroyed before
  void Send(HttpCall aCall, AnswerHandler aDone);

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace paddle
