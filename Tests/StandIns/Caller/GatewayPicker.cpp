#include <StandIns/Caller/GatewayPicker.h>

#include <utility>

namespace paddle {

GatewayPicker::GatewayPicker(std::vector<Endpoint> aGateways)
  : mGateways(std::move(aGateways))
  , mUp(mGateways.size(), true)
{
}

const std::vector<Endpoint>&
GatewayPicker::Gateways() const
{
  return mGateways;
}

std::optional<std::size_t>
GatewayPicker::Next()
{
  for (std::size_t i = 0; i < mGateways.size(); ++i) {
    mLast = (mLast + 1) % mGateways.size();
    if (mUp[mLast]) {
      return mLast;
    }
  }
  return std::nullopt;
}

void
GatewayPicker::SetUp(std::size_t aGateway, bool aUp)
{
  mUp[aGateway] = aUp;
}

} // namespace paddle
