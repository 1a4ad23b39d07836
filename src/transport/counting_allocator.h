/** @file counting_allocator.h An allocator that knows how much memory its
 * container holds. */
#pragma once

#include <cstddef>
#include <memory>
#include <type_traits>

namespace gv {

/** @return Bytes that the heap takes for a block of @p bytes on a 64-bit
 * machine. Thread safety: pure. */
constexpr size_t BlockBytes(size_t bytes) {
  constexpr size_t kHeapHeader = 8;
  constexpr size_t kAlignment = 16;
  constexpr size_t kSmallest = 32;
  const size_t rounded =
      (bytes + kHeapHeader + kAlignment - 1) / kAlignment * kAlignment;
  return rounded < kSmallest ? kSmallest : rounded;
}

/**
 * Adds up the blocks of one container. Copies of the allocator share their
 * count; a copy of the container gets a count of its own. Thread safety: that
 * of the container.
 */
template <class T>
class CountingAllocator {
 public:
  using value_type = T;
  using propagate_on_container_copy_assignment = std::false_type;
  using propagate_on_container_move_assignment = std::true_type;
  using propagate_on_container_swap = std::true_type;
  using is_always_equal = std::false_type;

  CountingAllocator() : held_(std::make_shared<size_t>(0)) {}
  // No moves: a container that was moved from goes on with its count.
  CountingAllocator(const CountingAllocator& other) = default;
  CountingAllocator& operator=(const CountingAllocator& other) = default;
  ~CountingAllocator() = default;
  template <class U>
  // NOLINTNEXTLINE(google-explicit-constructor): as allocators convert.
  CountingAllocator(const CountingAllocator<U>& other) : held_(other.Count()) {}

  // NOLINTBEGIN(readability-identifier-naming): names of the standard library.
  T* allocate(size_t count) {
    T* const block = std::allocator<T>().allocate(count);
    *held_ += BlockBytes(count * sizeof(T));
    return block;
  }
  void deallocate(T* block, size_t count) {
    *held_ -= BlockBytes(count * sizeof(T));
    std::allocator<T>().deallocate(block, count);
  }
  CountingAllocator select_on_container_copy_construction() const {
    return CountingAllocator();
  }
  // NOLINTEND(readability-identifier-naming)

  /** @return Bytes of all blocks that are allocated now. */
  size_t HeldBytes() const { return *held_; }
  /** @return What allocators of one container share. */
  const std::shared_ptr<size_t>& Count() const { return held_; }

  template <class U>
  bool operator==(const CountingAllocator<U>& other) const {
    return held_ == other.Count();
  }

 private:
  std::shared_ptr<size_t> held_;  ///< In bytes.
};

}  // namespace gv
