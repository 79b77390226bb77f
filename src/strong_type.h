// Wrappers that keep ids and quantities of different kinds apart at compile time.

#ifndef PLANTAIN_STRONG_TYPE_H_
#define PLANTAIN_STRONG_TYPE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace plantain {

// An id with a text value. Ids with different tags do not convert into each other.
template <typename Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string value) : m_value(std::move(value)) {}

  const std::string& Get() const { return m_value; }
  bool IsEmpty() const { return m_value.empty(); }

  auto operator<=>(const StrongString&) const = default;

  friend std::ostream& operator<<(std::ostream& out, const StrongString& id) { return out << id.m_value; }

 private:
  std::string m_value;
};

// An id or quantity with an integer or floating value. Arithmetic stays within one tag.
template <typename Tag, typename Value>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Value value) : m_value(value) {}

  constexpr Value Get() const { return m_value; }

  constexpr auto operator<=>(const StrongNumber&) const = default;

  constexpr StrongNumber operator+(StrongNumber other) const { return StrongNumber(m_value + other.m_value); }
  constexpr StrongNumber operator-(StrongNumber other) const { return StrongNumber(m_value - other.m_value); }
  constexpr StrongNumber& operator+=(StrongNumber other) {
    m_value += other.m_value;
    return *this;
  }
  constexpr StrongNumber& operator-=(StrongNumber other) {
    m_value -= other.m_value;
    return *this;
  }
  constexpr StrongNumber Next() const { return StrongNumber(m_value + 1); }

  friend std::ostream& operator<<(std::ostream& out, const StrongNumber& n) { return out << n.m_value; }

 private:
  Value m_value = Value();
};

}  // namespace plantain

template <typename Tag>
struct std::hash<plantain::StrongString<Tag>> {
  size_t operator()(const plantain::StrongString<Tag>& id) const { return std::hash<std::string>()(id.Get()); }
};

template <typename Tag, typename Value>
struct std::hash<plantain::StrongNumber<Tag, Value>> {
  size_t operator()(const plantain::StrongNumber<Tag, Value>& n) const { return std::hash<Value>()(n.Get()); }
};

#endif  // PLANTAIN_STRONG_TYPE_H_
