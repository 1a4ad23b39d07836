/** @file container_func.h Loops over tables whose callbacks change the same
 * table. */
#pragma once

#include <iterator>
#include <utility>
#include <vector>

namespace gv {

/**
 * Removes the entries of a map whose values meet a condition.
 * @return Their values, in the order of the map. The caller may then run
 * callbacks that change the map. Thread safety: that of @p map.
 */
template <typename Map, typename Condition>
std::vector<typename Map::mapped_type> TakeIf(Map& map,
                                              const Condition& condition) {
  std::vector<typename Map::mapped_type> taken;
  for (auto it = map.begin(); it != map.end();) {
    const auto next = std::next(it);
    if (condition(std::as_const(it->second))) {
      taken.push_back(std::move(it->second));
      map.erase(it);
    }
    it = next;
  }
  return taken;
}

/**
 * @return The keys of a map. A loop over them may run callbacks that change the
 * map, and looks each key up again. Thread safety: that of @p map.
 */
template <typename Map>
std::vector<typename Map::key_type> KeysOf(const Map& map) {
  std::vector<typename Map::key_type> keys;
  keys.reserve(map.size());
  for (const auto& [key, value] : map) {
    keys.push_back(key);
  }
  return keys;
}

}  // namespace gv
