// Line charts as SVG text, without scripts or fonts from elsewhere.
#pragma once

#include <string>
#include <vector>

namespace thornwick::experiments {

struct PlotPoint {
  double x = 0;
  double y = 0;
  // Half the width of the interval that is drawn around y; 0 or infinite: no interval is drawn.
  double half_width = 0;
};

struct Curve {
  std::string name;
  std::vector<PlotPoint> points;
};

// On a logarithmic scale only values above 0 are drawn.
enum class Scale { linear, logarithmic };
enum class Legend { shown, hidden };

struct Plot {
  std::string title;
  std::string x_name;
  std::string y_name;
  Scale x_scale = Scale::linear;
  Scale y_scale = Scale::linear;
  std::vector<Curve> curves;
  Legend legend = Legend::shown;
};

// Returns the text with the special characters of HTML and SVG as entities.
std::string escape_html(const std::string& text);
// Returns one <svg> element. Points that are not finite are omitted.
std::string draw_svg(const Plot& plot);

}  // namespace thornwick::experiments
