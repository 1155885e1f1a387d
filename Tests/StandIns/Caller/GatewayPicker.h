#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include <LibHttp/HttpMessage.h>

namespace paddle {

/// Picks gateways round-robin, as the platform's load balancer does. A gateway
/// that fails its health check or refuses a connection is skipped until a
/// health check succeeds.
class GatewayPicker
{
public:
  /// All gateways count as up at first.
  explicit GatewayPicker(std::vector<Endpoint> aGateways);

  [[nodiscard]] const std::vector<Endpoint>& Gateways() const;

  /// @return the index of the next gateway that is up, or nothing if none is
  std::optional<std::size_t> Next();

  /// Records whether a gateway is up.
  /// @param aGateway index of the gateway
  void SetUp(std::size_t aGateway, bool aUp);

private:
  std::vector<Endpoint> mGateways;
  std::vector<bool> mUp;
  std::size_t mLast = 0; ///< Index of the gateway picked last.
};

} // namespace paddle
