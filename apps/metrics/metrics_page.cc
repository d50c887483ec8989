#include "metrics/metrics_page.h"

namespace rosemarydrum {
namespace {

constexpr std::string_view name_prefix = "rosemarydrum_";
constexpr std::string_view counter_suffix = "_total";

}  // namespace

void metrics_page::write_type(std::string_view name, std::string_view suffix,
                              std::string_view type) {
  if (last_name_ != name) {
    out_ << "# TYPE " << name_prefix << name << suffix << ' ' << type << '\n';
    last_name_ = name;
  }
}

void metrics_page::gauge(std::string_view name, double value) {
  write_type(name, "", "gauge");
  out_ << name_prefix << name << ' ' << value << '\n';
}

void metrics_page::counter(std::string_view name, std::uint64_t value) {
  write_type(name, counter_suffix, "counter");
  out_ << name_prefix << name << counter_suffix << ' ' << value << '\n';
}

void metrics_page::counter(std::string_view name, std::string_view label,
                           std::string_view label_value, std::uint64_t value) {
  write_type(name, counter_suffix, "counter");
  out_ << name_prefix << name << counter_suffix << '{' << label << "=\""
       << label_value << "\"} " << value << '\n';
}

void metrics_page::histogram(std::string_view name,
                             const duration_histogram& values) {
  write_type(name, "", "histogram");
  const auto& axis = values.counts.axis();
  // Bin -1 counts the values below the axis, bin size() those above it.
  double count = values.counts.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    count += values.counts.at(i);
    out_ << name_prefix << name << "_bucket{le=\"" << axis.bin(i).upper()
         << "\"} " << count << '\n';
  }
  count += values.counts.at(axis.size());
  out_ << name_prefix << name << "_bucket{le=\"+Inf\"} " << count << '\n'
       << name_prefix << name << "_sum " << values.sum << '\n'
       << name_prefix << name << "_count " << count << '\n';
}

}  // namespace rosemarydrum
