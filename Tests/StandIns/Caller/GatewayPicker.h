#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include <LibHttp/HttpMessage.h>

namespace paddle {

/// Picks gateways in turn, as the platform's balancer does: one that fails
/// its health check or refuses a connection is left out until a check passes.
class GatewayPicker
{
public:
  explicit GatewayPicker(std::vector<Endpoint> aGateways);

  [[nodiscard]] const std::vector<Endpoint>& Gateways() const;

  /// @return the index of the next gateway that is up, or nothing
  std::optional<std::size_t> Next();

  void SetUp(std::size_t aGateway, bool aUp);

private:
  std::vector<Endpoint> mGateways;
  std::vector<bool> mUp;
  std::size_t mLast = 0;
};

} // namespace paddle
