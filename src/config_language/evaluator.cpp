#include "config_language/evaluator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cluster_manager::config_language {
namespace {

using Type = EvaluatedValue::Type;

std::string Describe(const EvaluatedValue& d) {
  switch (d.type) {
    case Type::kNumber:
      return std::string(DimensionName(d.dimension));
    case Type::kString:
      return "a string";
    case Type::kName:
      return "the name '" + d.text.substr(0, 40) + "'";
    case Type::kList:
      return "a list";
    case Type::kBoolean:
      return "a boolean";
    case Type::kInvalid:
      break;
  }
  return "nothing";
}

}  // namespace

std::string_view DimensionName(Dimension dimension) {
  switch (dimension) {
    case Dimension::kNone:
      return "a plain number";
    case Dimension::kTime:
      return "a duration";
    case Dimension::kCores:
      return "a number of cores";
    case Dimension::kBytes:
      return "an amount of memory";
    case Dimension::kRate:
      return "a rate";
    case Dimension::kShare:
      return "a share";
  }
  return "a number";
}

EvaluatedValue Evaluator::Evaluate(const Value& v) {
  EvaluatedValue d;
  d.span = v.span;
  switch (v.kind) {
    case ValueKind::kNumber:
      d.type = Type::kNumber;
      d.dimension = v.unit == nullptr ? Dimension::kNone : v.unit->dimension;
      d.number = v.number * (v.unit == nullptr ? 1 : v.unit->scale);
      d.without_unit = v.unit == nullptr;
      return d;
    case ValueKind::kString:
      d.type = Type::kString;
      d.text = v.text;
      return d;
    case ValueKind::kName:
      return EvaluateName(v);
    case ValueKind::kList:
      d.type = Type::kList;
      for (const Value& part : v.children) {
        d.elements.push_back(Evaluate(part));
        if (d.elements.back().type == Type::kInvalid) d.type = Type::kInvalid;
      }
      return d;
    case ValueKind::kNegation: {
      EvaluatedValue operand = Evaluate(v.children[0]);
      operand.span = v.span;
      if (operand.type == Type::kNumber) {
        operand.number = -operand.number;
      } else if (operand.type != Type::kInvalid) {
        diagnostics_->Add("T002", v.span, "expected a number after -, found " + Describe(operand));
        operand.type = Type::kInvalid;
      }
      return operand;
    }
    case ValueKind::kBinary:
      return EvaluateBinary(v);
    case ValueKind::kInvalid:
      break;
  }
  return d;
}

EvaluatedValue Evaluator::EvaluateName(const Value& v) {
  EvaluatedValue d;
  d.span = v.span;
  if (v.text == "true" || v.text == "false") {
    d.type = Type::kBoolean;
    d.boolean = v.text == "true";
    return d;
  }
  const auto constant = program_.constants.find(v.text);
  if (constant == program_.constants.end()) {
    d.type = Type::kName;
    d.text = v.text;
    return d;
  }
  used_names_.insert(v.text);
  if (const auto cached = values_.find(v.text); cached != values_.end()) {
    d = cached->second;
    d.span = v.span;
    return d;
  }
  if (const auto before = std::ranges::find(evaluation_stack_, v.text); before != evaluation_stack_.end()) {
    std::string chain;
    for (auto it = before; it != evaluation_stack_.end(); ++it) chain += *it + " -> ";
    diagnostics_->Add("R010", v.span, "constants depend on each other: " + chain + v.text,
                      "replace one of them by a value");
    return d;
  }
  if (evaluation_stack_.size() >= kMaxConstantDepth) {
    diagnostics_->Add(
        "R011", v.span,
        "constants depend on each other over more than " + std::to_string(kMaxConstantDepth) + " steps");
    return d;
  }
  evaluation_stack_.push_back(v.text);
  d = Evaluate(constant->second.value);
  evaluation_stack_.pop_back();
  values_[v.text] = d;
  d.span = v.span;
  return d;
}

EvaluatedValue Evaluator::EvaluateBinary(const Value& v) {
  const EvaluatedValue left = Evaluate(v.children[0]);
  const EvaluatedValue right = Evaluate(v.children[1]);
  EvaluatedValue d;
  d.span = v.span;
  if (left.type == Type::kInvalid || right.type == Type::kInvalid) return d;
  for (const EvaluatedValue* side : {&left, &right}) {
    if (side->type == Type::kNumber) continue;
    diagnostics_->Add("T002", side->span, "expected a number, found " + Describe(*side));
    return d;
  }
  const bool additive = v.operation == '+' || v.operation == '-';
  if (additive ? left.dimension != right.dimension
               : left.dimension != Dimension::kNone && right.dimension != Dimension::kNone &&
                     !(v.operation == '/' && left.dimension == right.dimension)) {
    diagnostics_->Add("T001", v.span,
                      Describe(left) + " and " + Describe(right) + " cannot be combined with " + v.operation,
                      right.without_unit || left.without_unit ? "add a unit to the number" : "");
    return d;
  }
  if (v.operation == '/' && right.dimension != Dimension::kNone && left.dimension == Dimension::kNone) {
    diagnostics_->Add("T001", v.span, "a plain number cannot be divided by " + Describe(right));
    return d;
  }
  if (v.operation == '/' && right.number == 0) {
    diagnostics_->Add("T003", right.span, "division by 0");
    return d;
  }
  d.type = Type::kNumber;
  d.dimension = left.dimension == Dimension::kNone ? right.dimension : left.dimension;
  if (v.operation == '/' && left.dimension == right.dimension) d.dimension = Dimension::kNone;
  d.number = v.operation == '+'   ? left.number + right.number
             : v.operation == '-' ? left.number - right.number
             : v.operation == '*' ? left.number * right.number
                                  : left.number / right.number;
  d.without_unit = left.without_unit && right.without_unit;
  if (!std::isfinite(d.number)) {
    diagnostics_->Add("T003", v.span, "the result is too large");
    d.type = Type::kInvalid;
  }
  return d;
}

std::vector<const Statement*> Evaluator::UnusedConstants() const {
  std::vector<const Statement*> all;
  for (const auto& [name, statement] : program_.constants) {
    if (!used_names_.contains(name)) all.push_back(&statement);
  }
  return all;
}

}  // namespace cluster_manager::config_language
