// Evaluates expressions: substitutes constants, does arithmetic and checks units. Quantities of different
// dimensions are never combined; in products and quotients a plain number goes with any quantity.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "config_language/resolver.h"

namespace cluster_manager::config_language {

struct EvaluatedValue {
  enum class Type { kNumber, kString, kName, kList, kBoolean, kInvalid } type = Type::kInvalid;
  Dimension dimension = Dimension::kNone;
  double number = 0;  // in ms, cores, bytes, per second, or as a share of 1
  std::string text;   // of a string, or a name that is not a constant
  bool boolean = false;
  std::vector<EvaluatedValue> elements;  // of a list
  Span span;
  bool without_unit = false;  // a number written without a unit
};

constexpr std::size_t kMaxConstantDepth = 64;

// Evaluates values of one program, which must outlive it, as must the diagnostics that it adds errors to.
class Evaluator {
 public:
  Evaluator(const Program& program, Diagnostics* diagnostics)
      : program_(program), diagnostics_(diagnostics) {}

  // A name that is not a constant stays a name; its meaning is up to the caller. After an error the result is
  // kInvalid.
  EvaluatedValue Evaluate(const Value& value);
  // Constants that no evaluated value has used, in order of their names.
  std::vector<const Statement*> UnusedConstants() const;

 private:
  EvaluatedValue EvaluateName(const Value& value);
  EvaluatedValue EvaluateBinary(const Value& value);

  const Program& program_;
  Diagnostics* diagnostics_;
  std::map<std::string, EvaluatedValue> values_;  // of constants evaluated so far
  std::vector<std::string> evaluation_stack_;     // names of the constants being evaluated, to detect cycles
  std::set<std::string> used_names_;
};

// For messages, with its article: "a duration".
std::string_view DimensionName(Dimension dimension);

}  // namespace cluster_manager::config_language
