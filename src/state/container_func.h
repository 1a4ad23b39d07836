/** @file container_func.h Loops over tables whose callbacks change the same
 * table. */
#pragma once

#include <utility>
#include <vector>

namespace gv {

/**
 * Takes the entries out of a map whose values meet a condition.
 * @return Them, in the order of the map. The caller may then run callbacks that
 * change the map. Thread safety: that of @p map.
 */
template <typename Map, typename Condition>
std::vector<typename Map::node_type> TakeIf(Map& map,
                                            const Condition& condition) {
  std::vector<typename Map::node_type> taken;
  for (auto it = map.begin(); it != map.end();) {
    const auto current = it++;
    if (condition(std::as_const(current->second))) {
      taken.push_back(map.extract(current));
    }
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
