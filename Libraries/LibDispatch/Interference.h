#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <LibTime/Time.h>

namespace paddle::dispatch {

/// Estimate of how strongly best-effort tasks of one image raise the
/// utilization of serving tasks of another image on the same runner. The value
/// is the rise of utilization if the best-effort tasks keep all processors of
/// the runner busy; smaller shares cause a proportional rise. Each image
/// interferes only with some others, so there is one estimate for each pair.
struct PairEffect
{
  double mMean = 0;
  double mVariance = 0;
  MonotonicTime mLearnedAt; ///< Time of the latest observation; 0: none.
};

/// What has been learned about an image as a serving image.
struct ServingImage
{
  /// Shortest tail latency observed; 0: none. It stands for the latency without
  /// queueing.
  double mMinTailMs = 0;
  MonotonicTime mLearnedAt; ///< Time of the latest tail latency; 0: none.
  /// Mean effect of all best-effort images on this image. Runners that serve
  /// only images with a low value are kept for interfering tasks.
  double mSensitivity = 1;
};

/// What the tail latencies that runners report have shown about interference.
struct Interference
{
  std::unordered_map<std::string, std::uint32_t> mImageIndexes;
  std::vector<ServingImage> mServingImages; ///< By image index.
  /// By the index of the interfering image, then of the serving image.
  std::vector<std::vector<PairEffect>> mPairs;
};

/// The stored form of Interference, from which a later owner starts.
struct InterferenceRecord
{
  struct Image
  {
    std::string mName;
    double mMinTailMs = 0;
  };
  struct Effect
  {
    std::string mInterfering;
    std::string mServing;
    double mMean = 0;
    double mVariance = 0;
  };
  // The latest observed first, and those of the same time by name: a record
  // that is too long for its row is cut off.
  std::vector<Image> mImages; ///< Images with a known shortest tail latency.
  std::vector<Effect> mEffects;
};

/// @return the record to store for a later owner
InterferenceRecord
RecordOf(const Interference& aInterference, MonotonicTime aNow);

/// Restores what an earlier owner has learned from its record.
void
Adopt(Interference& aInterference,
      const InterferenceRecord& aRecord,
      MonotonicTime aNow);

/// @return the index of an image, which is added if it is new
std::uint32_t
ImageIndex(Interference& aInterference, std::string_view aImage);

/// @return the utilization at which a task of the image is expected to have the
///         tail latency @p aTail, in milliseconds
double
UtilizationOf(const ServingImage& aImage, double aTail);

} // namespace paddle::dispatch
