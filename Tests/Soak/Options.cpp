#include "Options.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <optional>
#include <string_view>

namespace paddle::soak {

namespace {

std::optional<std::int64_t>
ParseNumber(std::string_view aText, std::int64_t aLow, std::int64_t aHigh)
{
  std::int64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [read, error] = std::from_chars(aText.data(), end, value);
  return error == std::errc() && read == end && value >= aLow && value <= aHigh
           ? std::optional(value)
           : std::nullopt;
}

/// @return the error in the list, empty if there is none
std::string
ParseTrouble(std::string_view aText, std::set<std::string>& aTrouble)
{
  aTrouble.clear();
  while (!aText.empty()) {
    const std::string name(aText.substr(0, aText.find(',')));
    aText.remove_prefix(std::min(aText.size(), name.size() + 1));
    if (std::none_of(
          std::begin(kTroubleKinds),
          std::end(kTroubleKinds),
          [&](const TroubleKind& aKind) { return name == aKind.mName; })) {
      return "--trouble: there is no kind \"" + name + "\"; --list shows all";
    }
    aTrouble.insert(name);
  }
  return {};
}

} // namespace

std::variant<Options, std::string>
ParseOptions(int aCount, const char* const* aArguments)
{
  Options options;
  for (const TroubleKind& kind : kTroubleKinds) {
    if (kind.mByDefault) {
      options.mTrouble.insert(kind.mName);
    }
  }
  for (int i = 1; i < aCount; ++i) {
    const std::string name = aArguments[i];
    if (name == "--list") {
      options.mList = true;
      continue;
    }
    const bool takesNumber = name == "--seed" || name == "--seconds" ||
                             name == "--nodes" || name == "--runners";
    if (!takesNumber && name != "--trouble" && name != "--folder") {
      return "unknown option \"" + name +
             "\"; there are --seed, --seconds, --nodes, --runners, --trouble, "
             "--folder and --list";
    }
    if (++i == aCount) {
      return name + ": a value is missing";
    }
    const std::string value = aArguments[i];
    if (name == "--folder") {
      if (value.empty()) {
        return std::string("--folder: the path is empty");
      }
      options.mFolder = value;
      continue;
    }
    if (name == "--trouble") {
      if (std::string error = ParseTrouble(value, options.mTrouble);
          !error.empty()) {
        return error;
      }
      continue;
    }
    const std::int64_t low = name == "--seed" ? 0 : 1;
    const std::int64_t high = name == "--seed"      ? INT64_MAX
                              : name == "--seconds" ? 3600
                              : name == "--nodes"   ? 9
                                                    : 60;
    const std::optional<std::int64_t> number = ParseNumber(value, low, high);
    if (!number) {
      return name + ": \"" + value + "\" is not a whole number from " +
             std::to_string(low) + " to " + std::to_string(high);
    }
    if (name == "--seed") {
      options.mSeed = static_cast<std::uint64_t>(*number);
    } else if (name == "--seconds") {
      options.mSeconds = static_cast<int>(*number);
    } else if (name == "--nodes") {
      options.mNodes = static_cast<int>(*number);
    } else {
      options.mRunners = static_cast<int>(*number);
    }
  }
  return options;
}

} // namespace paddle::soak
