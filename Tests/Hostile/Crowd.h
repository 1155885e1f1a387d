#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Sockets.h"

namespace paddle {

/// What each client of a crowd sends.
struct HostileInput
{
  std::string mHead; ///< Sent first.
  /// @return what to send after what was sent so far
  /// @param aClient number of the client
  /// @param aBlock  number of the block, counted from 0
  std::function<std::string(std::size_t aClient, std::size_t aBlock)> mBlock;
  std::size_t mMaxBytes = 0; ///< No block is begun after these.
};

/// Clients that send hostile input at the same time and read nothing. Their
/// connections are open until this object is destroyed.
class Crowd
{
public:
  Crowd(std::uint16_t aPort, std::size_t aClients);

  /// Sends the input of all clients, in turn, until each has sent all of it,
  /// was disconnected, or can't go on because its input is not read.
  void Send(const HostileInput& aInput);

private:
  std::vector<Socket> mClients;
};

/// Sends one ordinary request on a new connection and waits for its answer.
/// @return the status of the answer, or 0 if there is none
int
StatusOfRequest(std::uint16_t aPort, const std::string& aTarget);

} // namespace paddle
