#include <StandIns/Caller/LoadPlan.h>

#include <sstream>
#include <utility>

namespace paddle {

Outcome<CallMix>
ParseCallMix(const std::string& aText)
{
  CallMix mix{ 0, 0, 0 };
  std::istringstream parts(aText);
  std::string part;
  while (std::getline(parts, part, ',')) {
    const std::size_t equals = part.find('=');
    const std::string name = part.substr(0, equals);
    double* share = name == "orders"    ? &mix.mOrders
                    : name == "reads"   ? &mix.mReads
                    : name == "watches" ? &mix.mWatches
                                        : nullptr;
    if (share == nullptr || equals == std::string::npos) {
      return Error{ ErrorKind::InvalidInput,
                    "\"" + part + "\" is not orders=N, reads=N or watches=N" };
    }
    std::istringstream number(part.substr(equals + 1));
    number >> *share;
  }
  return mix;
}

LoadPlan::LoadPlan(PlanOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
{
}

PlannedCall
LoadPlan::NextCall()
{
  const CallMix& mix = mOptions.mMix;
  std::discrete_distribution<int> kinds(
    { mix.mOrders, mix.mReads, mix.mWatches });
  PlannedCall call;
  call.mKind = static_cast<CallKind>(kinds(mRandom));
  const std::string token = mOptions.mName + "-" +
                            std::to_string(mOptions.mSeed) + "-" +
                            std::to_string(++mSequence);
  switch (call.mKind) {
    case CallKind::Order:
      call.mTarget = mOptions.mOrderPath;
      call.mKey = token;
      call.mBody = "order " + token;
      break;
    case CallKind::Read:
      call.mTarget = mOptions.mReadPath + "?token=" + token;
      break;
    case CallKind::Watch:
      call.mTarget = mOptions.mWatchPath + "?token=" + token;
      break;
  }
  return call;
}

Micros
LoadPlan::NextGap()
{
  std::exponential_distribution<double> gaps(mOptions.mCallsPerSecond);
  return Micros(static_cast<Micros::rep>(gaps(mRandom) * 1e6));
}

} // namespace paddle
