#include "metrics/metrics_page.h"

namespace rosemarydrum {
namespace {

constexpr std::string_view prefix = "rosemarydrum_";
constexpr std::string_view total = "_total";

}  // namespace

void metrics_page::type(std::string_view name, std::string_view suffix,
                        std::string_view type) {
  if (last_name_ != name) {
    out_ << "# TYPE " << prefix << name << suffix << ' ' << type << '\n';
    last_name_ = name;
  }
}

void metrics_page::gauge(std::string_view name, double value) {
  type(name, "", "gauge");
  out_ << prefix << name << ' ' << value << '\n';
}

void metrics_page::counter(std::string_view name, std::uint64_t value) {
  type(name, total, "counter");
  out_ << prefix << name << total << ' ' << value << '\n';
}

void metrics_page::counter(std::string_view name, std::string_view label,
                           std::string_view label_value, std::uint64_t value) {
  type(name, total, "counter");
  out_ << prefix << name << total << '{' << label << "=\"" << label_value
       << "\"} " << value << '\n';
}

void metrics_page::histogram(std::string_view name, const timed& values) {
  type(name, "", "histogram");
  const auto& axis = values.counts.axis();
  // Index -1 counts the values below the axis.
  double count = values.counts.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    count += values.counts.at(i);
    out_ << prefix << name << "_bucket{le=\"" << axis.bin(i).upper() << "\"} "
         << count << '\n';
  }
  count += values.counts.at(axis.size());
  out_ << prefix << name << "_bucket{le=\"+Inf\"} " << count << '\n'
       << prefix << name << "_sum " << values.sum << '\n'
       << prefix << name << "_count " << count << '\n';
}

}  // namespace rosemarydrum
