#include <LibDispatch/AccountUse.h>

#include <LibDispatch/Dispatcher.h>

namespace paddle::dispatch {

Resources
CappedUse(const AccountUse& aUse)
{
  Resources total = aUse.mReserved;
  total.mMilliCores += aUse.mBestEffortMilliCores;
  return total;
}

AccountUse
UseOf(const Dispatcher& aDispatcher, std::string_view aAccount)
{
  const auto found = aDispatcher.mAccountUse.find(aAccount);
  return found != aDispatcher.mAccountUse.end() ? found->second : AccountUse{};
}

} // namespace paddle::dispatch
