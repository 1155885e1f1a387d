#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <LibTime/Time.h>

namespace paddle::dispatch {

/// How strongly tasks of one image without reservation load the lasting tasks
/// of another: the rise of their utilization for each share of the runner's
/// processors that the former ask for and use to the full. An image disturbs
/// only some others, so the figure belongs to the pair.
struct PairEffect
{
  double mMean = 0;
  double mVariance = 0;
  MonotonicTime mLearnedAt;
};

/// What is known of a serving image.
struct ServingImage
{
  /// Shortest tail seen, taken as the time without queueing.
  double mMinTailMs = 0;
  /// Mean effect of all images without reservation on this one: runners that
  /// serve only images of little sensitivity are where disturbing tasks go.
  double mSensitivity = 1;
};

/// What is learned from the tails that runners report.
struct Interference
{
  std::unordered_map<std::string, std::uint32_t> mImageIndexes;
  std::vector<ServingImage> mServingImages;
  /// By disturbing image, then by serving image.
  std::vector<std::vector<PairEffect>> mPairs;
};

/// What has been learned, for a later owner.
struct InterferenceRecord
{
  struct Image
  {
    std::string mName;
    double mMinTailMs = 0; ///< Milliseconds; 0: it serves nobody.
  };
  struct Effect
  {
    std::string mInterfering;
    std::string mServing;
    double mMean = 0;
    double mVariance = 0;
  };
  std::vector<Image> mImages;
  std::vector<Effect> mEffects;
};

InterferenceRecord
RecordOf(const Interference& aInterference, MonotonicTime aNow);

/// Takes up what an earlier owner learned.
void
Adopt(Interference& aInterference,
      const InterferenceRecord& aRecord,
      MonotonicTime aNow);

/// @return the index of an image, which is added if it is new
std::uint32_t
ImageIndex(Interference& aInterference, std::string_view aImage);

/// @return the expected utilization of a queue with this tail
double
UtilizationOf(const ServingImage& aImage, double aTail);

} // namespace paddle::dispatch
