#include "model/ids.h"

#include <algorithm>
#include <cstddef>

namespace magpie {

bool IsJobId(const std::string& text) {
  constexpr std::size_t kMaxLength = 40;
  return text.size() > 2 && text.size() <= kMaxLength && text[0] == 'j' && text[1] == '-' &&
         std::all_of(text.begin() + 2, text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

}  // namespace magpie
