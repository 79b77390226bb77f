// Randomness as a dependency, so that tests and benchmarks can fix the seed.

#ifndef PLANTAIN_RANDOM_H_
#define PLANTAIN_RANDOM_H_

#include <cstdint>
#include <random>

namespace plantain {

// Source of random numbers.
class Random {
 public:
  virtual ~Random() = default;

  // Returns 64 uniform bits.
  virtual uint64_t GetBits() = 0;

  // Returns a uniform integer in [0, bound). The bound must be larger than zero.
  uint64_t GetBelow(uint64_t bound) { return GetBits() % bound; }

  // Returns a uniform number in [0, 1).
  double GetUnit() { return static_cast<double>(GetBits() >> 11) * 0x1.0p-53; }
};

// Mersenne twister with a given seed.
class SeededRandom : public Random {
 public:
  explicit SeededRandom(uint64_t seed) : m_engine(seed) {}

  uint64_t GetBits() override { return m_engine(); }

 private:
  std::mt19937_64 m_engine;
};

// Returns a seed from the operating system.
inline uint64_t MakeSystemSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) ^ device();
}

}  // namespace plantain

#endif  // PLANTAIN_RANDOM_H_
