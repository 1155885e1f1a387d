#pragma once

#include <map>
#include <string>
#include <string_view>

#include <LibTime/Time.h>

namespace paddle::dispatch {

/// What is known of an image's effect on lasting tasks: the rise of a
/// neighbour's tail, as a share of its target, that a core of the image at full
/// pace causes.
struct ImageEffect
{
  double mWeight = 0;
  double mSamples = 0;
};

struct Interference
{
  std::map<std::string, ImageEffect, std::less<>> mImages;
};

} // namespace paddle::dispatch
