package main

import "image/color"

// colors holds the color of each policy in plots, in the order of policies.
var colors = []color.RGBA{
	{R: 0, G: 114, B: 178, A: 255}, {R: 213, G: 94, B: 0, A: 255},
	{R: 0, G: 158, B: 115, A: 255}, {R: 204, G: 121, B: 167, A: 255},
}
