// Compares ways of load control at 0.25 to 4 times the load that a small host
// carries, in virtual time, and prints a table.
//
// Usage: bench-overload [SVG]
// SVG is a file that receives a plot of goodput over load.

#include <array>
#include <cstdio>
#include <fstream>
#include <string>

#include "OverloadModel.h"

using namespace paddle::dispatch;

namespace {

constexpr double kCapacityPerS = 215;
constexpr std::array<double, 8> kLoads{ 0.25, 0.5, 0.75, 1, 1.5, 2, 3, 4 };
constexpr std::uint32_t kSeeds = 5;

struct Variant
{
  LoadControl mControl;
  const char* mName;
  const char* mColour;
};
constexpr std::array<Variant, 4> kVariants{ {
  { LoadControl::None, "before", "#c0392b" },
  { LoadControl::LateAnswers, "late answers", "#e67e22" },
  { LoadControl::Gradient, "gradient", "#2980b9" },
  { LoadControl::Aimd, "AIMD", "#27ae60" },
} };

/// @return the mean over the seeds
OverloadResult
MeanAt(LoadControl aControl, double aLoad)
{
  OverloadResult mean;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    OverloadSettings settings;
    settings.mControl = aControl;
    settings.mOfferedPerS = aLoad * kCapacityPerS;
    settings.mCalmPerS = kCapacityPerS / 4;
    settings.mSeed = seed;
    const OverloadResult result = SimulateOverload(settings);
    mean.mGoodputPerS += result.mGoodputPerS / kSeeds;
    mean.mRecoveryS += result.mRecoveryS / kSeeds;
    mean.mUnansweredPerS += result.mUnansweredPerS / kSeeds;
  }
  return mean;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  constexpr int kWidth = 640;
  constexpr int kHeight = 360;
  constexpr int kMargin = 50;
  const auto x = [&](double aLoad) {
    return kMargin + aLoad / 4 * (kWidth - 2 * kMargin);
  };
  const auto y = [&](double aGoodput) {
    return kHeight - kMargin - aGoodput / 300 * (kHeight - 2 * kMargin);
  };
  std::string lines;
  int row = 0;
  std::printf("control        load  tasks/s  unanswered/s  recovery_s\n");
  for (const Variant& variant : kVariants) {
    std::string points;
    for (const double load : kLoads) {
      const OverloadResult result = MeanAt(variant.mControl, load);
      std::printf("%-13s  %4.2f  %7.1f  %12.1f  %10.1f\n",
                  variant.mName,
                  load,
                  result.mGoodputPerS,
                  result.mUnansweredPerS,
                  result.mRecoveryS);
      points += std::to_string(x(load)) + "," +
                std::to_string(y(result.mGoodputPerS)) + " ";
    }
    lines += "<polyline fill='none' stroke='" + std::string(variant.mColour) +
             "' stroke-width='2' points='" + points + "'/>\n<text x='" +
             std::to_string(kWidth - 160) + "' y='" +
             std::to_string(kMargin + 16 * row++) + "' fill='" +
             variant.mColour + "'>" + variant.mName + "</text>\n";
  }
  if (aCount < 2) {
    return 0;
  }
  std::string axes;
  for (int load = 0; load <= 4; ++load) {
    axes += "<text x='" + std::to_string(x(load)) + "' y='" +
            std::to_string(kHeight - kMargin + 18) + "'>" +
            std::to_string(load) + "</text>\n";
  }
  for (int goodput = 0; goodput <= 300; goodput += 50) {
    axes += "<text x='15' y='" + std::to_string(y(goodput)) + "'>" +
            std::to_string(goodput) + "</text>\n";
  }
  std::ofstream file(aArguments[1]);
  file << "<svg xmlns='http://www.w3.org/2000/svg' width='" << kWidth
       << "' height='" << kHeight
       << "' font-family='sans-serif' font-size='12'>\n"
       << "<rect width='100%' height='100%' fill='white'/>\n"
       << "<text x='50' y='25'>Tasks done a second over the offered load "
          "(1: what the host carries)</text>\n"
       << axes << lines << "</svg>\n";
  return file ? 0 : 1;
}
