#include <LibNode/DirectoryPort.h>

namespace paddle {

const Route*
FindRoute(const Configuration& aConfiguration,
          std::string_view aHost,
          std::string_view aPath)
{
  const Route* best = nullptr;
  for (const Route& route : aConfiguration.mRoutes) {
    if (route.mHost != aHost || !aPath.starts_with(route.mPathPrefix)) {
      continue;
    }
    if (best == nullptr ||
        route.mPathPrefix.size() > best->mPathPrefix.size()) {
      best = &route;
    }
  }
  return best;
}

} // namespace paddle
