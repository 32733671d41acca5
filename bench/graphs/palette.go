package main

import "image/color"

// palette holds a color for each variant, chosen so that color-blind readers can tell them apart.
var palette = []color.Color{
	color.RGBA{R: 0, G: 114, B: 178, A: 255}, color.RGBA{R: 213, G: 94, B: 0, A: 255},
	color.RGBA{R: 0, G: 158, B: 115, A: 255}, color.RGBA{R: 204, G: 121, B: 167, A: 255},
	color.RGBA{R: 230, G: 159, B: 0, A: 255}, color.RGBA{R: 86, G: 180, B: 233, A: 255},
	color.RGBA{R: 240, G: 228, B: 66, A: 255}, color.RGBA{R: 120, G: 120, B: 120, A: 255},
}
